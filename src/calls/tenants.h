/// @file Tenants and the keys by which their callers are known. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace frostline::calls {

/// Who a request is made for.
struct tenant {
  std::string name;
  /// Goes before the priority of a route; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Any of these proves that a caller is the tenant's.
  std::vector<std::string> api_keys;
};

/// Why these tenants can't be told apart, by their places in the list and never by their keys:
/// a tenant without a name, two of one name, an empty key, a key that stands twice.
/// @return an empty text if nothing is wrong.
std::string validate_tenants(std::vector<tenant> const& tenants);

/// What the credentials of a request are worth.
enum class credentials {
  /// No tenants are configured: nobody needs a key.
  not_needed,
  /// The key of a known tenant.
  valid,
  /// No key, or another scheme than Bearer.
  missing,
  /// A key that no tenant holds.
  unknown,
};

std::string_view to_string(credentials verdict);

/// The key in the value of an Authorization header (RFC 6750, 2.1); empty if there is none.
std::string_view bearer_key(std::string_view authorization);

/// Finds the tenant that holds a key.
class tenant_index {
 public:
  tenant_index() = default;
  /// @param tenants outlive the index; without fault, see validate_tenants.
  explicit tenant_index(std::vector<tenant> const& tenants);

  bool has_tenants() const { return !by_name_.empty(); }
  /// Null if no tenant holds the key.
  tenant const* find_by_key(std::string_view key) const;
  tenant const* find_by_name(std::string_view name) const;
  /// @param authorization value of the request's header; empty if it has none.
  /// @param who set to the tenant if the verdict is valid, else to null.
  credentials check(std::string_view authorization, tenant const*& who) const;

 private:
  std::unordered_map<std::string_view, tenant const*> by_key_;
  std::unordered_map<std::string_view, tenant const*> by_name_;
};

}  // namespace frostline::calls
