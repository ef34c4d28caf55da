/// @file Marks in the record store that show which pools have jobs. A configuration may drop a
/// service while the jobs of its pool are kept, and the owner's record ends with its lease. Nodes
/// that start learn of such a pool from its mark and compete for its lease, so that the jobs can
/// still be read.
#pragma once

#include <optional>
#include <string>

namespace frostline::jobs {

/// Returns the key of a pool's mark. It has the prefix of the owners' records, which all nodes
/// receive.
std::string pool_mark_key(std::string const& pool);
/// Returns the pool if `key` is that of a mark.
std::optional<std::string> pool_of_mark(std::string const& key);

}  // namespace frostline::jobs
