/// @file A server's statement of its own load, as a header of its answers carries it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace frostline::balancing {

struct load_report {
  /// Upper limit of each value; a report with a larger one is malformed.
  static constexpr std::uint32_t k_max_value = 1'000'000;
  static constexpr std::uint32_t k_min_percentage = 25;
  static constexpr std::uint32_t k_max_percentage = 1'000;

  /// Requests that the server runs.
  std::uint32_t running = 0;
  /// Requests that wait at the server.
  std::uint32_t waiting = 0;
  /// Requests that the server can run at the same time.
  std::uint32_t slots = 1;
  /// Current duration of work in percent of the usual one, within k_min_percentage and
  /// k_max_percentage; nothing if the server does not state it.
  std::optional<std::uint32_t> percentage;
};

/// Parses `running,waiting,slots` with an optional fourth value, the percentage. Spaces around
/// values are allowed.
/// @return nothing if the text is malformed: other than three or four values, a value that is not a
/// decimal number from 0 to k_max_value, no slots, or a text of more than 64 characters.
std::optional<load_report> parse_load_report(std::string_view text);

}  // namespace frostline::balancing
