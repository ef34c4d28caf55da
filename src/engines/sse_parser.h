/// @file Incremental parser for server-sent events and for the token events that they carry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace frostline::engines {

/// Extracts the payloads of `data:` events from a byte stream.
class sse_parser {
 public:
  /// Consumes a piece of the stream. @return payloads of the events that it completes.
  std::vector<std::string> feed(std::string_view piece);
  /// Number of buffered bytes of an incomplete event.
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
};

/// Tokens that the engine reports in one event.
struct token_event {
  std::string text;
  std::uint64_t version = 0;
  std::uint32_t tokens = 0;
  bool finished = false;
};

/// Parses the payload of one event. @return nothing if the payload is malformed or has tokens
/// without a version.
std::optional<token_event> parse_token_event(std::string const& payload);

}  // namespace frostline::engines
