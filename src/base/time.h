/// @file Time as the decision logic sees it: always passed in, never read.
#pragma once

#include <chrono>
#include <cstdint>

namespace frostline {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Wall clock in milliseconds since the epoch, for logs, journals and incarnations only.
inline std::uint64_t wall_clock_ms() {
  auto const since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

}  // namespace frostline
