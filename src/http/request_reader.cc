#include "http/request_reader.h"

#include <algorithm>

namespace frostline::http {

std::size_t effective_header_limit(std::size_t header_bytes) {
  return std::min(header_bytes, k_max_header_bytes);
}

void set_limits(request_parser& parser, std::size_t header_bytes, std::size_t body_bytes,
                request_memory const& memory) {
  parser.header_limit(static_cast<std::uint32_t>(effective_header_limit(header_bytes)));
  parser.body_limit(std::min(body_bytes, memory.capacity()));
}

awaitable<beast::error_code> read_body(served_connection& peer, request_parser& parser,
                                       request_memory::reservation& memory) {
  parser.eager(true);
  while (!parser.is_done()) {
    auto [failure, count] =
        co_await bhttp::async_read_some(peer.stream, peer.buffer, parser, k_as_tuple);
    if (failure) co_return failure;
    if (!memory.grow_to(parser.get().body().size())) co_return asio::error::operation_aborted;
  }
  memory.finish_reading();
  co_return beast::error_code();
}

status status_for(beast::error_code const& failure) {
  if (failure == bhttp::error::body_limit) return status::payload_too_large;
  // The trailer, or the extensions of a chunk, are larger than the connection's buffer.
  bool const is_overflow = failure == bhttp::error::buffer_overflow;
  if (is_overflow || failure == bhttp::error::header_limit) {
    return status::request_header_fields_too_large;
  }
  if (failure == beast::error::timeout) return status::request_timeout;
  return status::bad_request;
}

}  // namespace frostline::http
