/// @file Time as the decision logic sees it: always passed in, never read.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace frostline {

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Time since the machine started, the time included in which it was suspended; it never goes back.
/// std::chrono::steady_clock stands still while a machine is suspended (CLOCK_MONOTONIC): by it a
/// node that wakes up would believe its leases, the ages of what it knows and its callers'
/// deadlines to be as they were before, while everybody else has gone on.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The name that the standard library asks of a clock.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// Milliseconds until `deadline`, rounded up so that who waits for them has reached it; 0 if it has
/// passed.
inline milliseconds time_left(time_point deadline) {
  auto const left = std::chrono::ceil<milliseconds>(deadline - boot_clock::now());
  return std::max(left, milliseconds(0));
}

/// Whole milliseconds since `then`, for logs and metrics.
inline std::int64_t milliseconds_since(time_point then) {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - then).count();
}

/// Wall clock in milliseconds since the epoch, for logs, journals and incarnations only.
inline std::uint64_t wall_clock_ms() {
  auto const since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

}  // namespace frostline
