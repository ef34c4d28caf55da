#include "http/request_reader.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace frostline::http {
namespace {

bool has_too_many_fields(request_parser const& parser) {
  auto const& fields = parser.get();
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > k_max_fields;
}

/// Passes a connection's buffer on to a parser, and limits what both hold.
class counted_buffer {
 public:
  using const_buffers_type = beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = beast::flat_buffer::mutable_buffers_type;

  counted_buffer(beast::flat_buffer& buffer, request_parser const& parser,
                 request_memory::reservation& memory)
      : buffer_(buffer), parser_(parser), memory_(memory) {}

  std::size_t size() const { return buffer_.size(); }
  std::size_t max_size() const { return buffer_.max_size(); }
  std::size_t capacity() const { return buffer_.capacity(); }
  const_buffers_type data() const { return buffer_.data(); }
  /// Called before each read. Throws std::length_error if there is no memory or there are too many
  /// fields, which Beast turns into buffer_overflow.
  mutable_buffers_type prepare(std::size_t bytes) {
    if (has_too_many_fields(parser_)) throw std::length_error("too many fields");
    auto const space = buffer_.prepare(bytes);
    if (!memory_.grow_buffer_to(buffer_.capacity())) throw std::length_error("no memory");
    return space;
  }
  void commit(std::size_t bytes) { buffer_.commit(bytes); }
  void consume(std::size_t bytes) { buffer_.consume(bytes); }

 private:
  beast::flat_buffer& buffer_;
  request_parser const& parser_;
  request_memory::reservation& memory_;
};

}  // namespace

void set_limits(request_parser& parser, std::size_t header_bytes, std::size_t body_bytes,
                request_memory const& memory) {
  parser.header_limit(static_cast<std::uint32_t>(std::min(header_bytes, k_max_header_bytes)));
  parser.body_limit(std::min(body_bytes, memory.capacity()));
}

awaitable<beast::error_code> read_head(served_connection& peer, request_parser& parser,
                                       request_memory::reservation& memory) {
  // What came with the request before may be all that is needed of this one.
  memory.grow_buffer_to(peer.buffer.capacity());
  counted_buffer buffer(peer.buffer, parser, memory);
  auto [failure, count] =
      co_await bhttp::async_read_header(peer.stream, buffer, parser, k_as_tuple);
  if (!failure && has_too_many_fields(parser)) co_return bhttp::error::header_limit;
  co_return failure;
}

awaitable<beast::error_code> read_body(served_connection& peer, request_parser& parser,
                                       request_memory::reservation& memory) {
  counted_buffer buffer(peer.buffer, parser, memory);
  parser.eager(true);
  while (!parser.is_done()) {
    auto [failure, count] =
        co_await bhttp::async_read_some(peer.stream, buffer, parser, k_as_tuple);
    if (failure) co_return failure;
    if (!memory.grow_to(parser.get().body().size())) co_return asio::error::operation_aborted;
  }
  if (has_too_many_fields(parser)) co_return bhttp::error::header_limit;
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
