#include "suspension.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>

namespace {

std::atomic<std::int64_t> suspended_ns = 0;

constexpr std::int64_t k_second_ns = 1'000'000'000;

/// Returns true if a kernel clock includes the time during which the machine is suspended.
bool counts_suspension(clockid_t clock) {
  return clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
}

}  // namespace

/// Overrides the C library's function for this program and its libraries.
extern "C" int clock_gettime(clockid_t clock, timespec* when) noexcept {
  long const failure = ::syscall(SYS_clock_gettime, clock, when);
  if (failure != 0) return -1;
  if (!counts_suspension(clock)) return 0;
  std::int64_t const nanoseconds = when->tv_nsec + suspended_ns;
  when->tv_sec += nanoseconds / k_second_ns;
  when->tv_nsec = nanoseconds % k_second_ns;
  return 0;
}

namespace frostline::testing {

void suspend(milliseconds duration) {
  suspended_ns += std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

}  // namespace frostline::testing
