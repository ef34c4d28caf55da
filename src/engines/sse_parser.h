/// @file Server-sent events out of a byte stream, and the engine's events out of those. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace frostline::engines {

/// Splits a stream into the payloads of its `data:` lines.
class sse_parser {
 public:
  /// Takes a piece in. @return payloads of the events it completes.
  std::vector<std::string> feed(std::string_view piece);
  /// Bytes of an event that is not complete.
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
};

/// A run of tokens as the engine reports it.
struct token_event {
  std::string text;
  std::uint64_t version = 0;
  std::uint32_t tokens = 0;
  bool finished = false;
};

/// Reads one event's payload. @return nothing if it is malformed or names no version.
std::optional<token_event> parse_token_event(std::string const& payload);

}  // namespace frostline::engines
