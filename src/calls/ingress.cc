#include "calls/ingress.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include "base/log.h"
#include "calls/call_failure.h"
#include "http/request_reader.h"

namespace frostline::calls {
namespace {

namespace beast = http::beast;
namespace bhttp = http::bhttp;

constexpr std::string_view k_part = "ingress";
constexpr milliseconds k_body_timeout{10'000};
/// A client is disconnected if a write to it takes longer than this.
constexpr milliseconds k_write_timeout{10'000};

/// Response that closes a connection on which no request was read.
http::response make_closing_notice() {
  http::response notice = http::make_response(
      http::status::request_timeout, "{\"reason\":\"no request was read on this connection\"}",
      http::k_problem_json);
  notice.keep_alive(false);
  notice.prepare_payload();
  return notice;
}

bool is_disconnect(beast::error_code const& failure) {
  return failure == bhttp::error::end_of_stream || failure == asio::error::eof ||
         failure == asio::error::connection_reset || failure == asio::error::operation_aborted ||
         failure == bhttp::error::partial_message;
}

}  // namespace

/// One client connection; acts as the caller of the request in progress.
class ingress::connection final : public caller {
 public:
  connection(tcp::socket socket, bool const& draining)
      : peer_(std::move(socket)), draining_(draining) {}

  http::served_connection& peer() { return peer_; }
  /// Returns a pointer to the peer that keeps this connection alive.
  std::shared_ptr<http::served_connection> shared_peer(std::shared_ptr<connection> self) {
    return {std::move(self), &peer_};
  }
  beast::tcp_stream& stream() { return stream_; }

  void begin_request(http::request const& message) {
    keep_alive_ = message.keep_alive();
    version_ = message.version();
    head_only_ = message.method() == http::verb::head;
    begun_ = false;
    ended_ = false;
  }
  /// Prepares the answer to a request that was not read as a whole; the connection is not used
  /// again.
  void begin_refusal() {
    begin_request(http::request());
    keep_alive_ = false;
  }
  bool can_continue() const { return keep_alive_ && ended_ && !disconnected_; }

  awaitable<void> answer(http::response whole) override {
    if (disconnected_) co_return;
    whole.version(version_);
    keep_alive_ = keep_alive_ && !draining_;
    whole.keep_alive(keep_alive_);
    if (head_only_) whole.body().clear();
    whole.prepare_payload();
    stream_.expires_after(k_write_timeout);
    auto [failure, count] = co_await bhttp::async_write(stream_, whole, k_as_tuple);
    ended_ = !failure;
  }

  /// Answers a request whose handler has failed, unless an answer has begun. The connection is not
  /// used again.
  awaitable<void> answer_failure() {
    keep_alive_ = false;
    if (begun_ || ended_) co_return;
    co_await answer(http::make_response(http::status::internal_server_error,
                                        "{\"reason\":\"internal error\"}", http::k_problem_json));
  }

  awaitable<bool> begin(http::response head) override {
    if (disconnected_) co_return false;
    begun_ = true;
    bhttp::response<bhttp::empty_body> chunked;
    chunked.base() = std::move(head.base());
    chunked.version(11);
    chunked.keep_alive(keep_alive_ && !draining_);
    chunked.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(chunked);
    stream_.expires_after(k_write_timeout);
    auto [failure, count] = co_await bhttp::async_write_header(stream_, serializer, k_as_tuple);
    if (failure) disconnected_ = true;
    co_return !disconnected_;
  }

  awaitable<bool> send(std::string piece) override {
    if (disconnected_) co_return false;
    stream_.expires_after(k_write_timeout);
    auto const chunk = bhttp::make_chunk(asio::buffer(piece));
    auto [failure, count] = co_await asio::async_write(stream_, chunk, k_as_tuple);
    if (failure) disconnected_ = true;
    co_return !disconnected_;
  }

  awaitable<void> end() override {
    if (disconnected_) co_return;
    keep_alive_ = keep_alive_ && !draining_;
    auto const last = bhttp::make_chunk_last();
    auto [failure, count] = co_await asio::async_write(stream_, last, k_as_tuple);
    ended_ = !failure;
  }

  bool is_disconnected() const override { return disconnected_; }
  void on_disconnect(std::function<void()> listener) override {
    on_disconnect_ = std::move(listener);
  }

  /// Detects a disconnect while a request is being answered, until `stop_watching`.
  awaitable<void> watch_disconnect(std::shared_ptr<connection> self) {
    auto [failure] = co_await stream_.socket().async_wait(
        tcp::socket::wait_read, asio::bind_cancellation_slot(stop_watch_.slot(), k_as_tuple));
    if (failure || ended_) co_return;
    beast::error_code peeked;
    char probe = 0;
    stream_.socket().non_blocking(true, peeked);
    stream_.socket().receive(asio::buffer(&probe, 1), tcp::socket::message_peek, peeked);
    if (!peeked || peeked == asio::error::would_block) co_return;
    disconnected_ = true;
    if (on_disconnect_) on_disconnect_();
  }

  void stop_watching() {
    on_disconnect_ = nullptr;
    stop_watch_.emit(asio::cancellation_type::all);
  }

 private:
  http::served_connection peer_;
  beast::tcp_stream& stream_ = peer_.stream;
  bool const& draining_;
  asio::cancellation_signal stop_watch_;
  std::function<void()> on_disconnect_;
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool begun_ = false;
  bool ended_ = false;
  bool disconnected_ = false;
};

ingress::ingress(asio::io_context& context, request_handler on_request, std::size_t max_connections,
                 std::size_t request_memory_bytes)
    : context_(context),
      on_request_(std::move(on_request)),
      max_connections_(max_connections),
      listener_(context, k_part,
                [this](tcp::socket socket) { take_connection(std::move(socket)); }),
      connections_(make_closing_notice()),
      memory_(request_memory_bytes) {}

ingress::~ingress() = default;

std::string ingress::listen(endpoint const& bind_address) { return listener_.listen(bind_address); }

std::uint16_t ingress::port() const { return listener_.port(); }

awaitable<http::shutdown_report> ingress::shut_down(time_point deadline) {
  drain();
  co_return co_await connections_.shut_down(listener_, deadline);
}

void ingress::take_connection(tcp::socket socket) {
  if (!connections_.make_room(max_connections_)) return;  // closes the socket
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto client = std::make_shared<connection>(std::move(socket), draining_);
  connections_.add(client->shared_peer(client));
  spawn(context_, serve(std::move(client)));
}

awaitable<void> ingress::serve(std::shared_ptr<connection> client) {
  try {
    while (co_await serve_one(client)) continue;
  } catch (...) {
    log_unhandled_exception(std::current_exception());
  }
  client->stop_watching();
  beast::error_code ignored;
  client->stream().socket().shutdown(tcp::socket::shutdown_send, ignored);
  connections_.remove(client->shared_peer(client));
}

awaitable<bool> ingress::serve_one(std::shared_ptr<connection> client) {
  std::optional<http::request_parser> parser(std::in_place);
  http::set_limits(*parser, limits_.header_bytes, limits_.body_bytes, memory_);
  bool const arrived = co_await connections_.wait_for_request(client->peer(), limits_.idle_timeout);
  if (!arrived) co_return false;
  std::optional<http::request_memory::reservation> reserved(
      std::in_place, memory_, [&client] { client->stream().cancel(); });
  client->stream().expires_after(limits_.header_timeout);
  beast::error_code failure = co_await http::read_head(client->peer(), *parser, *reserved);
  if (!failure && http::header(parser->get(), "Expect") == "100-continue") {
    bhttp::response<bhttp::empty_body> continue_response(http::status::continue_, 11);
    co_await bhttp::async_write(client->stream(), continue_response, k_as_tuple);
  }
  if (!failure) {
    client->stream().expires_after(k_body_timeout);
    failure = co_await http::read_body(client->peer(), *parser, *reserved);
  }
  bool const is_refused = reserved->is_refused();
  if (failure || is_refused) {
    parser.reset();
    reserved.reset();
  }
  if (is_refused) {
    log_line(log_level::warning, k_part, "Request refused for memory.",
             {{"held", memory_.held()}, {"capacity", memory_.capacity()}});
    co_await refuse(*client, failure_response(call_failure::no_memory));
    co_return false;
  }
  if (failure) {
    if (http::connection_set::is_evicted(client->peer(), failure)) {
      co_await connections_.close_unused(client->peer());
    }
    if (is_disconnect(failure)) co_return false;
    http::status const error_status = http::status_for(failure);
    log_line(log_level::info, k_part, "Request can't be read.",
             {{"status", static_cast<unsigned>(error_status)}, {"error", failure.message()}});
    co_await refuse(*client,
                    http::make_response(error_status, "{\"reason\":\"" + failure.message() + "\"}",
                                        http::k_problem_json));
    co_return false;
  }
  client->stream().expires_never();
  http::request message = parser->release();
  parser.reset();
  client->begin_request(message);
  connections_.enter(client->peer(), http::connection_phase::answering);
  spawn(context_, client->watch_disconnect(client));
  bool has_failed = false;
  try {
    co_await on_request_(std::move(message), *client);
  } catch (...) {
    log_unhandled_exception(std::current_exception());
    has_failed = true;
  }
  if (has_failed) co_await client->answer_failure();
  client->stop_watching();
  connections_.enter(client->peer(), http::connection_phase::next_request);
  co_return client->can_continue();
}

awaitable<void> ingress::refuse(connection& client, http::response refusal) {
  client.begin_refusal();
  connections_.begin_closing(client.peer());
  co_await client.answer(std::move(refusal));
  co_await connections_.linger(client.peer());
}

}  // namespace frostline::calls
