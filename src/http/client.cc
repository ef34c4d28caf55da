#include "http/client.h"

#include "http/connection_health.h"
#include "http/response_reader.h"

namespace frostline::http {
namespace {

constexpr std::size_t k_pooled_per_endpoint = 32;
/// A peer that takes longer to accept a connection is considered unreachable.
constexpr milliseconds k_connect_timeout{800};

std::error_code classify(beast::error_code const& failure) {
  bool const silent = failure == beast::error::timeout || failure == asio::error::timed_out;
  if (silent) return errc::deadline_exceeded;
  if (failure == bhttp::error::partial_message) return errc::answer_truncated;
  if (failure == bhttp::error::body_limit) return errc::answer_too_large;
  return errc::exchange_failed;
}

}  // namespace

client::connection client::take_pooled(endpoint const& peer_endpoint) {
  auto const found = pool_.find(peer_endpoint);
  if (found == pool_.end()) return nullptr;
  while (!found->second.empty()) {
    connection idle = std::move(found->second.back());
    found->second.pop_back();
    if (is_reusable(idle->socket())) return idle;
  }
  return nullptr;
}

void client::return_to_pool(endpoint const& peer_endpoint, connection stream) {
  auto& idle = pool_[peer_endpoint];
  if (idle.size() >= k_pooled_per_endpoint) return;
  stream->expires_never();
  idle.push_back(std::move(stream));
}

std::error_code client::note_failure(endpoint const& peer_endpoint,
                                     beast::error_code const& failure) {
  std::error_code const error = classify(failure);
  if (error == errc::deadline_exceeded) pool_.erase(peer_endpoint);
  return error;
}

awaitable<result<client::connection>> client::connect(endpoint const& peer_endpoint,
                                                      milliseconds timeout) {
  auto stream = std::make_unique<request_stream>(context_);
  stream->expires_after(std::min(timeout, k_connect_timeout));
  beast::error_code bad_address;
  auto const address = asio::ip::make_address(peer_endpoint.address, bad_address);
  if (bad_address) co_return std::error_code(errc::connect_failed);
  tcp::endpoint const remote(address, peer_endpoint.port);
  auto [failure] = co_await stream->async_connect(remote, k_as_tuple);
  if (failure) co_return std::error_code(errc::connect_failed);
  beast::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  enable_keepalive_probes(stream->socket());
  co_return std::move(stream);
}

awaitable<result<response>> client::exchange(endpoint peer_endpoint, request message,
                                             milliseconds timeout, connection_use use) {
  time_point const deadline = boot_clock::now() + timeout;
  connection stream;
  if (use == connection_use::pooled) stream = take_pooled(peer_endpoint);
  if (!stream) {
    auto connected = co_await connect(peer_endpoint, timeout);
    if (!connected) co_return connected.error();
    stream = std::move(connected.value());
  }
  stream->expires_after(time_left(deadline));
  message.set(field::host, peer_endpoint.to_string());
  message.keep_alive(use == connection_use::pooled);
  message.prepare_payload();
  auto [write_failure, written] = co_await bhttp::async_write(*stream, message, k_as_tuple);
  traffic_.sent += written;
  if (write_failure) co_return note_failure(peer_endpoint, write_failure);
  std::optional<response_parser> parser;
  beast::flat_buffer buffer(k_max_unparsed_bytes);
  bool const head_only = message.method() == verb::head;
  head_outcome const head =
      co_await read_final_head(*stream, buffer, parser, [&](response_parser& created) {
        created.body_limit(answer_limit_);
        created.skip(head_only);
      });
  traffic_.received += head.bytes_received;
  if (head.failure) co_return note_failure(peer_endpoint, head.failure);
  auto [read_failure, read] = co_await bhttp::async_read(*stream, buffer, *parser, k_as_tuple);
  traffic_.received += read;
  if (read_failure) co_return note_failure(peer_endpoint, read_failure);
  stream->end_request();
  bool const reusable = parser->get().keep_alive() && buffer.size() == 0;
  if (reusable && use == connection_use::pooled) return_to_pool(peer_endpoint, std::move(stream));
  co_return parser->release();
}

awaitable<result<response>> client::stream(endpoint peer_endpoint, request message,
                                           milliseconds idle_timeout, body_sink sink) {
  auto connected = co_await connect(peer_endpoint, idle_timeout);
  if (!connected) co_return connected.error();
  connection stream = std::move(connected.value());
  stream->expires_after(idle_timeout);
  message.set(field::host, peer_endpoint.to_string());
  message.prepare_payload();
  auto [write_failure, written] = co_await bhttp::async_write(*stream, message, k_as_tuple);
  traffic_.sent += written;
  if (write_failure) co_return classify(write_failure);
  std::optional<response_parser> parser;
  beast::flat_buffer buffer(k_max_unparsed_bytes);
  head_outcome const head = co_await read_final_head(
      *stream, buffer, parser,
      [&](response_parser& created) { created.body_limit(answer_limit_); });
  traffic_.received += head.bytes_received;
  if (head.failure) co_return classify(head.failure);
  stream->end_request();
  bool const forward_body = parser->get().result() == status::ok;
  while (!parser->is_done()) {
    stream->expires_after(idle_timeout);
    auto [failure, count] = co_await bhttp::async_read_some(*stream, buffer, *parser, k_as_tuple);
    traffic_.received += count;
    if (failure) co_return classify(failure);
    std::string& body = parser->get().body();
    if (!forward_body || body.empty()) continue;
    if (!sink(body)) co_return std::error_code(errc::exchange_failed);
    body.clear();
  }
  co_return parser->release();
}

}  // namespace frostline::http
