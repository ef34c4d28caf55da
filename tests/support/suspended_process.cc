/// @file Preloaded into a process under test: SIGUSR2 with a duration in milliseconds sets its
/// monotonic clock back by that much, to simulate a suspension while the process was stopped.

#include <signal.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t k_second_ns = 1'000'000'000;
constexpr std::int64_t k_millisecond_ns = 1'000'000;

std::atomic<std::int64_t> suspended_ns = 0;

void note_suspension(int, siginfo_t* what, void*) {
  suspended_ns += what->si_value.sival_int * k_millisecond_ns;
}

[[gnu::constructor]] void install_handler() {
  struct sigaction action {};
  action.sa_sigaction = note_suspension;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  ::sigaction(SIGUSR2, &action, nullptr);
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* when) noexcept {
  long const failure = ::syscall(SYS_clock_gettime, clock, when);
  if (failure != 0) return -1;
  if (clock != CLOCK_MONOTONIC) return 0;
  std::int64_t const nanoseconds = when->tv_sec * k_second_ns + when->tv_nsec - suspended_ns;
  when->tv_sec = nanoseconds / k_second_ns;
  when->tv_nsec = nanoseconds % k_second_ns;
  return 0;
}
