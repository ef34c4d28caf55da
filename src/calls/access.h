/// @file Who may make a request, and what of a caller's credentials a server gets to see.
#pragma once

#include "calls/header_names.h"
#include "calls/route_table.h"
#include "http/message.h"

namespace frostline::calls {

/// What a request's credentials gave its caller.
struct access {
  credentials verdict = credentials::not_needed;
  /// Null if the caller is no known tenant's.
  tenant const* who = nullptr;
  bool is_granted = true;
};

/// @param is_public callers of the request need no key. One that is valid still names its tenant.
access check_access(route_table const& table, http::request const& message, bool is_public);

/// The answer to a request without access: 401, with the scheme that is wanted (RFC 9110, 11.6.1).
http::response access_denied_answer(credentials verdict);

/// Sets what a server learns of the caller: the tenant's name from here and from nowhere else, and
/// no key where keys prove tenants.
void set_tenant(http::request& message, header_names const& names, tenant_index const& tenants,
                std::string_view tenant_name);

}  // namespace frostline::calls
