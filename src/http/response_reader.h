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
  /// `bhttp::error::header_limit` if the peer sends too many interim responses.
  beast::error_code failure;
  std::size_t bytes_received = 0;
};

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
    auto [failure, count] = co_await bhttp::async_read_header(stream, buffer, *parser, k_as_tuple);
    outcome.bytes_received += count;
    outcome.failure = failure;
    bool const interim = !failure && bhttp::to_status_class(parser->get().result_int()) ==
                                         bhttp::status_class::informational;
    if (!interim) co_return outcome;
  }
  outcome.failure = bhttp::error::header_limit;
  co_return outcome;
}

}  // namespace frostline::http
