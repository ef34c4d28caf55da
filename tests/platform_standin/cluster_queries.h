/// @file What tests ask of a whole system's stand-ins, and set at all of them at once.
#pragma once

#include <string>
#include <vector>

#include "platform_cluster.h"

namespace frostline::testing {

/// Three zones with servers enough for a request that ends one after the other.
platform_options with_many_servers();

/// Requests that have reached servers and whose identifiers begin so, refused ones too.
std::size_t count_arrivals(platform_cluster& system, std::string const& prefix);
/// Of these, the ones that were run.
std::size_t count_runs(platform_cluster& system, std::string const& prefix);
/// Times at which a request that ends its servers reached one, in their order.
std::vector<time_point> poison_arrivals(platform_cluster& system);
/// Records of the store whose keys begin so.
std::size_t count_records(platform_cluster& system, std::string const& prefix);
/// Key prefix of the records of requests that are kept from servers, or suspected.
inline constexpr char k_quarantine_records[] = "frostline/quarantine/";

/// From now on all servers of this kind refuse everything as full, or no longer.
void set_engines_full(platform_cluster& system, bool full);
void set_apps_full(platform_cluster& system, bool full);
/// From now on the store answers nothing, or again.
void set_store_silent(platform_cluster& system, bool silent);

}  // namespace frostline::testing
