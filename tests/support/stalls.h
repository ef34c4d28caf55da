/// @file Stops and continues a process in short turns, as on a machine whose processor is taken
/// away again and again.
#pragma once

#include <functional>

#include "base/time.h"
#include "process.h"

namespace frostline::testing {

/// Length of one stall and of the time that the process runs before the next one.
struct stall_times {
  milliseconds stopped{60};
  milliseconds running{10};
};

/// Stalls a process until it exits.
/// @param during_stall is called once in each stall, while the process is stopped.
/// @return the exit code; -1 if the process was killed by a signal or has not ended in time.
int stall_until_exit(child_process& process, stall_times times,
                     std::function<void()> const& during_stall);

}  // namespace frostline::testing
