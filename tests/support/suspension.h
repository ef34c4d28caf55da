/// @file Simulates a suspension of the machine for the test's own process: CLOCK_REALTIME and
/// CLOCK_BOOTTIME jump ahead, CLOCK_MONOTONIC does not.
#pragma once

#include "base/time.h"

namespace frostline::testing {

/// Advances the clocks as if the machine had just been suspended for `duration`.
void suspend(milliseconds duration);

}  // namespace frostline::testing
