#include "calls/tenants.h"

#include <boost/algorithm/string/predicate.hpp>
#include <set>

#include "http/syntax.h"

namespace frostline::calls {
namespace {

constexpr std::string_view k_scheme = "Bearer";

std::string entry_name(std::size_t index) { return "tenants[" + std::to_string(index) + "]"; }

}  // namespace

std::string validate_tenants(std::vector<tenant> const& tenants) {
  std::set<std::string_view> names;
  std::unordered_map<std::string_view, std::size_t> key_owners;
  for (std::size_t index = 0; index < tenants.size(); ++index) {
    tenant const& current = tenants[index];
    if (current.name.empty()) return entry_name(index) + " has no name";
    // Servers get the name in a header.
    if (!http::is_identifier(current.name)) {
      return entry_name(index) + " has a name that can't be sent in a header";
    }
    if (!names.insert(current.name).second) {
      return entry_name(index) + " has the name of an earlier tenant: " + current.name;
    }
    for (std::size_t key_index = 0; key_index < current.api_keys.size(); ++key_index) {
      std::string const key_name =
          entry_name(index) + ".api_keys[" + std::to_string(key_index) + "]";
      if (current.api_keys[key_index].empty()) return key_name + " is empty";
      auto const [owner, is_first] = key_owners.emplace(current.api_keys[key_index], index);
      if (!is_first) return key_name + " is also a key of " + entry_name(owner->second);
    }
  }
  return {};
}

std::string_view to_string(credential_status key_check) {
  switch (key_check) {
    case credential_status::not_needed:
      return "not_needed";
    case credential_status::valid:
      return "valid";
    case credential_status::missing:
      return "missing_key";
    case credential_status::unknown:
      return "unknown_key";
  }
  return "unknown";
}

std::string_view bearer_key(std::string_view authorization) {
  auto const space = authorization.find(' ');
  if (space == std::string_view::npos) return {};
  if (!boost::algorithm::iequals(authorization.substr(0, space), k_scheme)) return {};
  std::string_view key = authorization.substr(space);
  auto const key_begin = key.find_first_not_of(" \t");
  if (key_begin == std::string_view::npos) return {};
  auto const last = key.find_last_not_of(" \t");
  return key.substr(key_begin, last - key_begin + 1);
}

tenant_index::tenant_index(std::vector<tenant> const& tenants) {
  for (tenant const& current : tenants) {
    by_name_.emplace(current.name, &current);
    for (std::string const& key : current.api_keys) by_key_.emplace(key, &current);
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

credential_status tenant_index::check(std::string_view authorization,
                                      tenant const*& matched_tenant) const {
  matched_tenant = nullptr;
  if (!has_tenants()) return credential_status::not_needed;
  std::string_view const key = bearer_key(authorization);
  if (key.empty()) return credential_status::missing;
  matched_tenant = find_by_key(key);
  return matched_tenant == nullptr ? credential_status::unknown : credential_status::valid;
}

}  // namespace frostline::calls
