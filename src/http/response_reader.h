/// @file Reads the head of a response, and limits what a peer may send that is no part of its
/// answer.
#pragma once

#include <functional>
#include <optional>

#include "base/asio.h"
#include "http/message.h"

namespace frostline::http {

using response_parser = bhttp::response_parser<bhttp::string_body>;

/// Limit of the received bytes that are not parsed yet, for the buffer of a connection. It bounds
/// the size line of a chunk with its extensions, and the trailer, which Beast does not limit.
inline constexpr std::size_t k_max_unparsed_bytes = 64 * 1024;
/// Limit of the interim responses before a final one.
inline constexpr int k_max_interim_responses = 8;

struct head_outcome {
  /// `bhttp::error::header_limit` if the peer sends too many interim responses, and an error of
  /// `find_head_error`.
  beast::error_code failure;
  std::size_t bytes_received = 0;
};

/// Passes a connection's buffer on to a parser, and notes whether a line of the head that the
/// parser consumes begins with a space or a tab. Beast joins such a line to the one before (RFC
/// 9112, section 5.2), so that a field whose name begins with a space is passed on as a value.
class head_buffer {
 public:
  using const_buffers_type = beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = beast::flat_buffer::mutable_buffers_type;

  explicit head_buffer(beast::flat_buffer& buffer) : buffer_(buffer) {}

  bool has_folded_line() const { return has_folded_line_; }

  std::size_t size() const { return buffer_.size(); }
  std::size_t max_size() const { return buffer_.max_size(); }
  std::size_t capacity() const { return buffer_.capacity(); }
  const_buffers_type data() const { return buffer_.data(); }
  mutable_buffers_type prepare(std::size_t count) { return buffer_.prepare(count); }
  void commit(std::size_t count) { buffer_.commit(count); }
  void consume(std::size_t count);

 private:
  beast::flat_buffer& buffer_;
  bool after_line_end_ = false;
  bool has_folded_line_ = false;
};

/// Returns the error of a head that Beast accepts but that is not a response to pass on: a status
/// outside 100 to 599 (RFC 9110, section 15), a transfer coding other than chunked, which nobody
/// asked for and whose body would not be the server's, or a folded line.
beast::error_code find_head_error(response const& head, bool has_folded_line);

/// Reads the head of the final response. Discards interim responses (RFC 9110, section 15.2), which
/// Beast's parser takes for whole answers.
/// @param parser receives a new parser for each head.
/// @param configure sets the options of each new parser.
template <class Stream>
awaitable<head_outcome> read_final_head(Stream& stream, beast::flat_buffer& buffer,
                                        std::optional<response_parser>& parser,
                                        std::function<void(response_parser&)> configure) {
  head_outcome outcome;
  for (int heads = 0; heads <= k_max_interim_responses; ++heads) {
    parser.emplace();
    configure(*parser);
    head_buffer consumed(buffer);
    auto [failure, count] =
        co_await bhttp::async_read_header(stream, consumed, *parser, k_as_tuple);
    outcome.bytes_received += count;
    outcome.failure =
        failure ? failure : find_head_error(parser->get(), consumed.has_folded_line());
    if (outcome.failure) co_return outcome;
    bool const interim =
        bhttp::to_status_class(parser->get().result_int()) == bhttp::status_class::informational;
    if (!interim) co_return outcome;
  }
  outcome.failure = bhttp::error::header_limit;
  co_return outcome;
}

}  // namespace frostline::http
