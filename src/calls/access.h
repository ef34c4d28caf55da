/// @file Authenticates callers by API key, and removes their credentials before requests reach
/// servers.
#pragma once

#include "calls/header_names.h"
#include "calls/route_table.h"
#include "http/message.h"

namespace frostline::calls {

/// Result of the check of a request's credentials against the tenants and the route.
struct access {
  credential_status key_check = credential_status::not_needed;
  /// Tenant of the caller's key; null unless `key_check` is valid.
  tenant const* matched_tenant = nullptr;
  bool is_granted = true;
};

/// Checks the Authorization header of a request.
/// @param is_public true if the route needs no key. A valid key still identifies the caller's
/// tenant.
access check_access(route_table const& table, http::request const& message, bool is_public);

/// Returns a 401 response that names the scheme Bearer in WWW-Authenticate (RFC 9110, section
/// 11.6.1).
http::response access_denied_answer(credential_status key_check);

/// Replaces the tenant header that a caller may have set by one with `tenant_name`, or removes it
/// if `tenant_name` is empty. Also removes the Authorization header if tenants are configured.
/// Servers can therefore trust the tenant header, and never see a tenant's key.
void set_tenant(http::request& message, header_names const& names, tenant_index const& tenants,
                std::string_view tenant_name);

}  // namespace frostline::calls
