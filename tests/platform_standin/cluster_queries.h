/// @file Queries over all stand-ins of a platform_cluster, and settings for all of them at once.
#pragma once

#include <string>
#include <vector>

#include "platform_cluster.h"

namespace frostline::testing {

/// Returns options for three zones with enough servers to survive a poison request.
platform_options with_many_servers();

/// Counts requests, including refused ones, that reached servers and whose identifiers start with
/// `prefix`.
std::size_t count_arrivals(platform_cluster& system, std::string const& prefix);
/// Like count_arrivals(), but counts only requests that were run.
std::size_t count_runs(platform_cluster& system, std::string const& prefix);
/// Returns the times at which requests that crashed a server reached it, sorted.
std::vector<time_point> poison_arrivals(platform_cluster& system);
/// Counts records in the store whose keys start with `prefix`.
std::size_t count_records(platform_cluster& system, std::string const& prefix);
/// Key prefix of the records of requests that are quarantined or suspected.
inline constexpr char k_quarantine_records[] = "frostline/quarantine/";

/// While set, all servers of this kind refuse every request as full.
void set_engines_full(platform_cluster& system, bool full);
void set_apps_full(platform_cluster& system, bool full);
/// While set, the store answers no request.
void set_store_silent(platform_cluster& system, bool silent);

}  // namespace frostline::testing
