#include "calls/tenants.h"

#include <boost/algorithm/string/predicate.hpp>
#include <set>

namespace frostline::calls {
namespace {

constexpr std::string_view k_scheme = "Bearer";

std::string place_of(std::size_t index) { return "tenants[" + std::to_string(index) + "]"; }

}  // namespace

std::string validate_tenants(std::vector<tenant> const& tenants) {
  std::set<std::string_view> names;
  std::unordered_map<std::string_view, std::size_t> holders;
  for (std::size_t index = 0; index < tenants.size(); ++index) {
    tenant const& one = tenants[index];
    if (one.name.empty()) return place_of(index) + " has no name";
    if (!names.insert(one.name).second) {
      return place_of(index) + " has the name of an earlier tenant: " + one.name;
    }
    for (std::size_t place = 0; place < one.api_keys.size(); ++place) {
      std::string const where = place_of(index) + ".api_keys[" + std::to_string(place) + "]";
      if (one.api_keys[place].empty()) return where + " is empty";
      auto const [held, first] = holders.emplace(one.api_keys[place], index);
      if (!first) return where + " is also a key of " + place_of(held->second);
    }
  }
  return {};
}

std::string_view to_string(credentials verdict) {
  switch (verdict) {
    case credentials::not_needed:
      return "not_needed";
    case credentials::valid:
      return "valid";
    case credentials::missing:
      return "missing_key";
    case credentials::unknown:
      return "unknown_key";
  }
  return "unknown";
}

std::string_view bearer_key(std::string_view authorization) {
  auto const space = authorization.find(' ');
  if (space == std::string_view::npos) return {};
  if (!boost::algorithm::iequals(authorization.substr(0, space), k_scheme)) return {};
  std::string_view key = authorization.substr(space);
  auto const first = key.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  auto const last = key.find_last_not_of(" \t");
  return key.substr(first, last - first + 1);
}

tenant_index::tenant_index(std::vector<tenant> const& tenants) {
  for (tenant const& one : tenants) {
    by_name_.emplace(one.name, &one);
    for (std::string const& key : one.api_keys) by_key_.emplace(key, &one);
  }
}

tenant const* tenant_index::find_by_key(std::string_view key) const {
  auto const found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

tenant const* tenant_index::find_by_name(std::string_view name) const {
  auto const found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

credentials tenant_index::check(std::string_view authorization, tenant const*& who) const {
  who = nullptr;
  if (!has_tenants()) return credentials::not_needed;
  std::string_view const key = bearer_key(authorization);
  if (key.empty()) return credentials::missing;
  who = find_by_key(key);
  return who == nullptr ? credentials::unknown : credentials::valid;
}

}  // namespace frostline::calls
