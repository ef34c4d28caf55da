/// @file Faults of application servers that differ in speed, fail part of their requests or report
/// false loads.
#pragma once

#include <vector>

#include "platform_cluster.h"
#include "soak_faults.h"

namespace frostline::testing {

/// Not among the faults of `soak_faults::all`, since more faults there would change the sequence
/// that a seed gives.
std::vector<soak_fault> make_slow_server_faults(platform_cluster& system);

}  // namespace frostline::testing
