/// @file Input of other writers and submitters that must harm nobody: entries among the servers'
/// records in the store, and jobs whose items can't be sent as they stand.
#pragma once

#include <cstddef>
#include <random>

#include "platform_cluster.h"

namespace frostline::testing {

/// Writes `count` entries below the prefix of the servers' records. Their names hold any ASCII
/// character; their values are malformed, or valid but for the name.
void write_odd_entries(platform_cluster& system, std::mt19937_64 random, std::size_t count);

/// Submits `count` jobs, each with one item of which a part can't be sent. @return the number of
/// jobs that were not refused with status 400.
std::size_t submit_odd_jobs(platform_cluster& system, std::mt19937_64 random, std::size_t count);

}  // namespace frostline::testing
