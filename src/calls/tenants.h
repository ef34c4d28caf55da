/// @file Tenants and their API keys. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace frostline::calls {

struct tenant {
  std::string name;
  /// Compared before the priority of a route; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Any of these keys identifies the tenant.
  std::vector<std::string> api_keys;
};

/// Checks for tenants without a name, duplicate names, empty keys and duplicate keys. The message
/// names entries by their index and never contains a key.
/// @return an error message; empty if the tenants are valid.
std::string validate_tenants(std::vector<tenant> const& tenants);

/// Result of the check of an Authorization header.
enum class credential_status {
  /// No tenants are configured, so no key is needed.
  not_needed,
  /// The key belongs to a tenant.
  valid,
  /// There is no key, or the scheme is not Bearer.
  missing,
  /// The key belongs to no tenant.
  unknown,
};

std::string_view to_string(credential_status key_check);

/// Returns the key of an Authorization header (RFC 6750, section 2.1); empty if there is none or
/// the scheme is not Bearer.
std::string_view bearer_key(std::string_view authorization);

/// Finds tenants by key or name.
class tenant_index {
 public:
  tenant_index() = default;
  /// @param tenants must outlive the index and pass validate_tenants.
  explicit tenant_index(std::vector<tenant> const& tenants);

  bool has_tenants() const { return !by_name_.empty(); }
  /// Null if the key belongs to no tenant.
  tenant const* find_by_key(std::string_view key) const;
  tenant const* find_by_name(std::string_view name) const;
  /// @param authorization value of the header; empty if the request has none.
  /// @param matched_tenant set to the tenant if the result is valid, else to null.
  credential_status check(std::string_view authorization, tenant const*& matched_tenant) const;

 private:
  std::unordered_map<std::string_view, tenant const*> by_key_;
  std::unordered_map<std::string_view, tenant const*> by_name_;
};

}  // namespace frostline::calls
