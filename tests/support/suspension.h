/// @file As if the machine had been suspended: the time of day and the time since its start go on
/// by what was slept, the monotonic clock does not. Works on the clocks of this test's process
/// alone.
#pragma once

#include "base/time.h"

namespace frostline::testing {

/// From now on the process sees clocks of a machine that has just slept for `duration`.
void suspend(milliseconds duration);

}  // namespace frostline::testing
