/// @file Faults that strike gateways while they start: signals, settings that are being replaced,
/// addresses that are not free.
#pragma once

#include <vector>

#include "platform_cluster.h"
#include "soak_faults.h"

namespace frostline::testing {

/// Not among the faults of `soak_faults::all`, since more faults there would change the sequence
/// that a seed gives.
std::vector<soak_fault> make_start_faults(platform_cluster& system);

}  // namespace frostline::testing
