#include "base/process_signals.h"

#include <csignal>
#include <initializer_list>

namespace frostline {
namespace {

/// The earliest priority that is not reserved for the implementation.
constexpr int k_first_initializer = 101;

sigset_t make_set(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (int const number : signals) sigaddset(&set, number);
  return set;
}

[[gnu::constructor(k_first_initializer)]] void hold_signals() {
  sigset_t const held = make_set({SIGHUP, SIGINT, SIGTERM});
  sigprocmask(SIG_BLOCK, &held, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

void deliver_signals() {
  sigset_t const held = make_set({SIGHUP, SIGINT, SIGTERM});
  sigprocmask(SIG_UNBLOCK, &held, nullptr);
}

bool is_stop_pending() {
  sigset_t pending;
  sigpending(&pending);
  return sigismember(&pending, SIGINT) == 1 || sigismember(&pending, SIGTERM) == 1;
}

void wait_for_stop() {
  sigset_t const stops = make_set({SIGINT, SIGTERM});
  int received = 0;
  while (sigwait(&stops, &received) != 0) continue;
}

}  // namespace frostline
