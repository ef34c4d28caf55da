/// @file Checks a caller's credentials, and limits what a server sees of them.
#pragma once

#include "calls/header_names.h"
#include "calls/route_table.h"
#include "http/message.h"

namespace frostline::calls {

/// Result of the check of a request's credentials.
struct access {
  credential_status key_check = credential_status::not_needed;
  /// Null if the caller belongs to no known tenant.
  tenant const* matched_tenant = nullptr;
  bool is_granted = true;
};

/// @param is_public the route needs no key. A valid key still identifies the caller's tenant.
access check_access(route_table const& table, http::request const& message, bool is_public);

/// Returns the 401 response with its authentication scheme (RFC 9110, section 11.6.1).
http::response access_denied_answer(credential_status key_check);

/// Replaces any tenant header of the caller by `tenant_name`, and removes the Authorization header
/// if tenants are configured, so that servers can trust the tenant and never see a key.
void set_tenant(http::request& message, header_names const& names, tenant_index const& tenants,
                std::string_view tenant_name);

}  // namespace frostline::calls
