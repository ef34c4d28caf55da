/// @file Entries that other writers leave among the servers' records in the store.
#pragma once

#include <cstddef>
#include <random>

#include "platform_cluster.h"

namespace frostline::testing {

/// Writes `count` entries below the prefix of the servers' records. Their names hold any ASCII
/// character; their values are malformed, or valid but for the name.
void write_odd_entries(platform_cluster& system, std::mt19937_64 random, std::size_t count);

}  // namespace frostline::testing
