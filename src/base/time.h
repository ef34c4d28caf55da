/// @file Clock and time types. Decision logic takes the current time as an argument.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace frostline {

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME).
/// std::chrono::steady_clock (CLOCK_MONOTONIC) stops during a suspension, so a resumed node would
/// treat expired leases, stale records and passed deadlines as still valid.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // Name required by the Clock requirements of the standard library.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// Time until `deadline`, rounded up so that a wait of this length reaches the deadline; 0 if it
/// has passed.
inline milliseconds time_left(time_point deadline) {
  auto const left = std::chrono::ceil<milliseconds>(deadline - boot_clock::now());
  return std::max(left, milliseconds(0));
}

/// Whole milliseconds since `then`, for logs and metrics.
inline std::int64_t milliseconds_since(time_point then) {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - then).count();
}

/// Wall-clock time in milliseconds since the Unix epoch, for logs, journals and incarnations only.
inline std::uint64_t wall_clock_ms() {
  auto const since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

}  // namespace frostline
