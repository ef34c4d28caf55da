#include "http/server.h"

#include <boost/asio/post.hpp>
#include <optional>

#include "base/log.h"
#include "http/request_reader.h"

namespace frostline::http {
namespace {

constexpr std::string_view k_part = "http";
constexpr std::size_t k_bodies_at_once = 8;
/// Retry-After in seconds of requests for which there is no memory.
constexpr char k_memory_retry_after[] = "1";

response make_unread_response(status code, std::string const& title, std::string const& detail) {
  return make_response(
      code, "{\"title\":\"" + title + "\",\"detail\":\"" + detail + "\",\"run_state\":\"not_run\"}",
      k_problem_json);
}

/// Response that closes a connection on which no request was read.
response make_closing_notice() {
  response notice = make_unread_response(status::request_timeout, "draining",
                                         "no request was read on this connection");
  notice.keep_alive(false);
  notice.prepare_payload();
  return notice;
}

/// Response to a request whose handler has failed.
response make_failed_response() {
  return make_response(status::internal_server_error,
                       "{\"title\":\"internal error\",\"run_state\":\"unknown\"}", k_problem_json);
}

std::size_t memory_capacity(server_limits const& limits) {
  return limits.request_memory_bytes > 0 ? limits.request_memory_bytes
                                         : limits.body_bytes * k_bodies_at_once;
}

/// Response to a request for whose body there is no memory.
response make_memory_refusal() {
  response refusal = make_unread_response(status::service_unavailable, "out of memory",
                                          "the bodies of other requests take all memory");
  refusal.set(field::retry_after, k_memory_retry_after);
  return refusal;
}

bool is_disconnect(beast::error_code const& failure) {
  return failure == bhttp::error::end_of_stream || failure == asio::error::connection_reset ||
         failure == asio::error::operation_aborted || failure == asio::error::eof;
}

class chunked_writer final : public stream_writer {
 public:
  /// @param timeout longest time to write the head or a chunk.
  chunked_writer(beast::tcp_stream& stream, milliseconds timeout)
      : stream_(stream), timeout_(timeout) {}

  awaitable<bool> begin(response head) override {
    bhttp::response<bhttp::empty_body> empty(head.base());
    empty.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(empty);
    stream_.expires_after(timeout_);
    auto [failure, sent] = co_await bhttp::async_write_header(stream_, serializer, k_as_tuple);
    co_return !failure;
  }

  awaitable<bool> write(std::string chunk) override {
    auto const body = asio::buffer(chunk);
    auto const encoded = bhttp::make_chunk(body);
    stream_.expires_after(timeout_);
    auto [failure, sent] = co_await asio::async_write(stream_, encoded, k_as_tuple);
    co_return !failure;
  }

  awaitable<bool> finish() override {
    finished_ = true;
    auto const last = bhttp::make_chunk_last();
    stream_.expires_after(timeout_);
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
  milliseconds timeout_;
  bool finished_ = false;
};

}  // namespace

server::server(asio::io_context& context, server_limits limits, handler on_request,
               stream_handler on_stream)
    : context_(context),
      limits_(limits),
      on_request_(std::move(on_request)),
      on_stream_(std::move(on_stream)),
      listener_(context, k_part,
                [this](tcp::socket socket) { take_connection(std::move(socket)); }),
      connections_(make_closing_notice()),
      memory_(memory_capacity(limits)) {}

server::~server() = default;

std::string server::listen(endpoint const& listen_endpoint) {
  return listener_.listen(listen_endpoint);
}

std::uint16_t server::port() const { return listener_.port(); }

void server::drain() { draining_ = true; }

awaitable<shutdown_report> server::shut_down(time_point deadline) {
  drain();
  co_return co_await connections_.shut_down(listener_, deadline);
}

void server::abort() {
  listener_.close();
  connections_.abort();
}

void server::take_connection(tcp::socket socket) {
  if (!connections_.make_room(limits_.connections)) return;  // the socket closes
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto peer = std::make_shared<served_connection>(std::move(socket));
  connections_.add(peer);
  spawn(context_, serve(peer));
}

awaitable<void> server::serve(std::shared_ptr<served_connection> peer) {
  try {
    while (co_await serve_request(*peer)) continue;
  } catch (...) {
    log_unhandled_exception(std::current_exception());
  }
  beast::error_code ignored;
  peer->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  connections_.remove(peer);
}

awaitable<bool> server::serve_request(served_connection& peer) {
  bool const arrived = co_await connections_.wait_for_request(peer, limits_.idle_timeout);
  if (!arrived) co_return false;
  std::optional<request_parser> parser(std::in_place);
  set_limits(*parser, limits_.header_bytes, limits_.body_bytes, memory_);
  std::optional<request_memory::reservation> reserved(std::in_place, memory_,
                                                      [&peer] { peer.stream.cancel(); });
  peer.stream.expires_after(limits_.read_timeout);
  beast::error_code failure = co_await read_head(peer, *parser, *reserved);
  if (!failure) failure = co_await read_body(peer, *parser, *reserved);
  bool const is_refused = reserved->is_refused();
  if (failure || is_refused) {
    parser.reset();
    reserved.reset();
  }
  if (is_refused) {
    log_line(log_level::warning, k_part, "Request refused for memory.", {{"held", memory_.held()}});
    co_await refuse(peer, make_memory_refusal());
    co_return false;
  }
  if (failure) {
    if (connection_set::is_evicted(peer, failure)) co_await connections_.close_unused(peer);
    if (is_disconnect(failure)) co_return false;
    co_await refuse(
        peer, make_unread_response(status_for(failure), "malformed request", failure.message()));
    co_return false;
  }
  peer.stream.expires_never();
  connections_.enter(peer, connection_phase::answering);
  request message = parser->release();
  parser.reset();
  bool const more = co_await answer_request(peer, std::move(message));
  connections_.enter(peer, connection_phase::next_request);
  co_return more;
}

awaitable<void> server::refuse(served_connection& peer, response refusal) {
  connections_.begin_closing(peer);
  co_await send(peer, std::move(refusal), false, 11);
  co_await connections_.linger(peer);
}

awaitable<bool> server::answer_request(served_connection& peer, request message) {
  bool const wants_keep_alive = message.keep_alive();
  bool const head_only = message.method() == verb::head;
  unsigned const version = message.version();
  if (on_stream_) {
    chunked_writer writer(peer.stream, limits_.read_timeout);
    bool const streamed = co_await on_stream_(message, writer);
    if (streamed) co_return writer.finished() && wants_keep_alive && !draining_;
  }
  response answer;
  bool has_failed = false;
  try {
    answer = co_await on_request_(std::move(message));
  } catch (...) {
    log_unhandled_exception(std::current_exception());
    answer = make_failed_response();
    has_failed = true;
  }
  bool const keep_alive = wants_keep_alive && !draining_ && !has_failed;
  if (head_only) answer.body().clear();
  co_return co_await send(peer, std::move(answer), keep_alive, version);
}

awaitable<bool> server::send(served_connection& peer, response answer, bool keep_alive,
                             unsigned version) {
  answer.version(version);
  answer.keep_alive(keep_alive);
  answer.prepare_payload();
  peer.stream.expires_after(limits_.read_timeout);
  auto [failure, count] = co_await bhttp::async_write(peer.stream, answer, k_as_tuple);
  co_return !failure && keep_alive;
}

}  // namespace frostline::http
