#include "jobs/pool_mark.h"

#include "ownership/owner_lease.h"

namespace frostline::jobs {
namespace {

/// Versions without marks take keys outside the duties for the owners' records of pools.
std::string marks_prefix() {
  return ownership::owner_lease::key_of(std::string(ownership::k_duties_prefix) + "pools/");
}

}  // namespace

std::string pool_mark_key(std::string const& pool) { return marks_prefix() + pool; }

std::optional<std::string> pool_of_mark(std::string const& key) {
  std::string const prefix = marks_prefix();
  if (!key.starts_with(prefix) || key.size() == prefix.size()) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace frostline::jobs
