#include "http/server.h"

#include <boost/asio/post.hpp>
#include <optional>

#include "base/log.h"
#include "http/connection_health.h"

namespace frostline::http {
namespace {

constexpr std::string_view k_part = "http";

enum class connection_phase { first_request, next_request, reading, answering };

/// Returns the response status for a request that could not be read.
status status_for(beast::error_code const& failure) {
  if (failure == bhttp::error::body_limit) return status::payload_too_large;
  if (failure == bhttp::error::header_limit) return status::request_header_fields_too_large;
  if (failure == beast::error::timeout) return status::request_timeout;
  return status::bad_request;
}

bool is_disconnect(beast::error_code const& failure) {
  return failure == bhttp::error::end_of_stream || failure == asio::error::connection_reset ||
         failure == asio::error::operation_aborted || failure == asio::error::eof;
}

}  // namespace

struct server::connection {
  explicit connection(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  connection_phase phase = connection_phase::first_request;

  bool is_idle() const {
    return phase == connection_phase::first_request || phase == connection_phase::next_request;
  }
};

namespace {

class chunked_writer final : public stream_writer {
 public:
  explicit chunked_writer(beast::tcp_stream& stream) : stream_(stream) {}

  awaitable<bool> begin(response head) override {
    bhttp::response<bhttp::empty_body> empty(head.base());
    empty.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(empty);
    stream_.expires_never();
    auto [failure, sent] = co_await bhttp::async_write_header(stream_, serializer, k_as_tuple);
    co_return !failure;
  }

  awaitable<bool> write(std::string chunk) override {
    auto const body = asio::buffer(chunk);
    auto const encoded = bhttp::make_chunk(body);
    auto [failure, sent] = co_await asio::async_write(stream_, encoded, k_as_tuple);
    co_return !failure;
  }

  awaitable<bool> finish() override {
    finished_ = true;
    auto const last = bhttp::make_chunk_last();
    auto [failure, sent] = co_await asio::async_write(stream_, last, k_as_tuple);
    co_return !failure;
  }

  bool peer_gone() override {
    beast::error_code failure;
    char probe = 0;
    tcp::socket& socket = stream_.socket();
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, failure);
    return failure && failure != asio::error::would_block;
  }

  bool finished() const { return finished_; }

 private:
  beast::tcp_stream& stream_;
  bool finished_ = false;
};

}  // namespace

server::server(asio::io_context& context, server_limits limits, handler on_request,
               stream_handler on_stream)
    : context_(context),
      limits_(limits),
      on_request_(std::move(on_request)),
      on_stream_(std::move(on_stream)),
      acceptor_(context) {}

server::~server() = default;

std::string server::listen(endpoint const& listen_endpoint) {
  beast::error_code failure;
  tcp::endpoint const local(asio::ip::make_address(listen_endpoint.address), listen_endpoint.port);
  acceptor_.open(local.protocol(), failure);
  if (!failure) acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure) acceptor_.bind(local, failure);
  if (!failure) acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) return listen_endpoint.to_string() + ": " + failure.message();
  spawn(context_, accept_loop());
  return {};
}

std::uint16_t server::port() const {
  beast::error_code failure;
  return acceptor_.local_endpoint(failure).port();
}

void server::drain() { draining_ = true; }

void server::close_listener() {
  beast::error_code ignored;
  acceptor_.close(ignored);
}

void server::close_idle() {
  for (auto const& peer : connections_) {
    if (peer->is_idle()) peer->stream.cancel();
  }
}

connection_counts server::count_connections() {
  connection_counts counts;
  if (acceptor_.is_open()) counts.queued = listen_queue_length(acceptor_);
  for (auto const& peer : connections_) {
    switch (peer->phase) {
      case connection_phase::first_request:
        ++counts.first_request;
        break;
      case connection_phase::next_request:
        ++counts.next_request;
        break;
      case connection_phase::reading:
        ++counts.reading;
        break;
      case connection_phase::answering:
        ++counts.answering;
        break;
    }
    if (peer->is_idle() && unread_bytes(peer->stream.socket()) > 0) ++counts.unread;
  }
  return counts;
}

void server::abort() {
  close_listener();
  beast::error_code ignored;
  for (auto const& peer : connections_) peer->stream.socket().close(ignored);
}

awaitable<void> server::accept_loop() {
  while (acceptor_.is_open()) {
    auto [failure, socket] = co_await acceptor_.async_accept(k_as_tuple);
    if (failure == asio::error::operation_aborted) co_return;
    if (failure) {
      log_line(log_level::warning, k_part, "Accept failed.", {{"error", failure.message()}});
      co_await wait_for(milliseconds(10));
      continue;
    }
    if (connections_.size() >= limits_.connections) continue;  // the socket closes
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto peer = std::make_shared<connection>(std::move(socket));
    connections_.insert(peer);
    spawn(context_, serve(peer));
  }
}

awaitable<void> server::serve(std::shared_ptr<connection> peer) {
  bool more = true;
  while (more) more = co_await serve_request(*peer);
  beast::error_code ignored;
  peer->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  connections_.erase(peer);
}

awaitable<bool> server::serve_request(connection& peer) {
  bhttp::request_parser<bhttp::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  if (peer.buffer.size() == 0) {
    peer.stream.expires_after(limits_.idle_timeout);
    auto [failure, count] =
        co_await peer.stream.async_read_some(peer.buffer.prepare(limits_.header_bytes), k_as_tuple);
    if (failure) co_return false;
    peer.buffer.commit(count);
  }
  peer.phase = connection_phase::reading;
  peer.stream.expires_after(limits_.read_timeout);
  auto [failure, count] = co_await bhttp::async_read(peer.stream, peer.buffer, parser, k_as_tuple);
  if (failure) {
    if (is_disconnect(failure)) co_return false;
    response refusal = make_response(status_for(failure),
                                     "{\"title\":\"malformed request\",\"detail\":\"" +
                                         failure.message() + "\",\"run_state\":\"not_run\"}",
                                     k_problem_json);
    peer.stream.expires_after(limits_.read_timeout);
    co_await send(peer, std::move(refusal), false, 11);
    co_return false;
  }
  peer.stream.expires_never();
  ++in_flight_;
  peer.phase = connection_phase::answering;
  request message = parser.release();
  bool const more = co_await answer_request(peer, std::move(message));
  --in_flight_;
  peer.phase = connection_phase::next_request;
  co_return more;
}

awaitable<bool> server::answer_request(connection& peer, request message) {
  bool const wants_keep_alive = message.keep_alive();
  bool const head_only = message.method() == verb::head;
  unsigned const version = message.version();
  if (on_stream_) {
    chunked_writer writer(peer.stream);
    bool const streamed = co_await on_stream_(message, writer);
    if (streamed) co_return writer.finished() && wants_keep_alive && !draining_;
  }
  response answer = co_await on_request_(std::move(message));
  bool const keep_alive = wants_keep_alive && !draining_;
  if (head_only) answer.body().clear();
  co_return co_await send(peer, std::move(answer), keep_alive, version);
}

awaitable<bool> server::send(connection& peer, response answer, bool keep_alive, unsigned version) {
  answer.version(version);
  answer.keep_alive(keep_alive);
  answer.prepare_payload();
  auto [failure, count] = co_await bhttp::async_write(peer.stream, answer, k_as_tuple);
  co_return !failure && keep_alive;
}

}  // namespace frostline::http
