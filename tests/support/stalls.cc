#include "stalls.h"

#include <signal.h>

#include <thread>

namespace frostline::testing {
namespace {

constexpr seconds k_exit_timeout{60};

}  // namespace

int stall_until_exit(child_process& process, stall_times times,
                     std::function<void()> const& during_stall) {
  time_point const deadline = boot_clock::now() + k_exit_timeout;
  while (process.is_running() && boot_clock::now() < deadline) {
    process.send_signal(SIGSTOP);
    time_point const end = boot_clock::now() + times.stopped;
    during_stall();
    std::this_thread::sleep_until(end);
    process.send_signal(SIGCONT);
    std::this_thread::sleep_for(times.running);
  }
  return process.wait(0);
}

}  // namespace frostline::testing
