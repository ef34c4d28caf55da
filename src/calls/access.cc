#include "calls/access.h"

namespace frostline::calls {

access check_access(route_table const& table, http::request const& message, bool is_public) {
  access result;
  result.key_check = table.tenants().check(
      http::to_string_view(message[http::field::authorization]), result.matched_tenant);
  // With several Authorization headers it is undefined which one a downstream proxy or server
  // reads, so none of them authenticates a tenant.
  bool const has_several_headers = message.count(http::field::authorization) > 1;
  if (has_several_headers && result.key_check == credential_status::valid) {
    result.key_check = credential_status::unknown;
    result.matched_tenant = nullptr;
  }
  bool const is_proven = result.key_check == credential_status::valid ||
                         result.key_check == credential_status::not_needed;
  result.is_granted = is_proven || is_public;
  return result;
}

http::response access_denied_answer(credential_status key_check) {
  std::string const reason(to_string(key_check));
  http::response answer = http::make_response(
      http::status::unauthorized,
      R"({"title":"a valid key is needed","status":401,"reason":")" + reason + "\"}",
      http::k_problem_json);
  answer.set(http::field::www_authenticate, "Bearer");
  return answer;
}

void set_tenant(http::request& message, header_names const& names, tenant_index const& tenants,
                std::string_view tenant_name) {
  message.erase(names.tenant);
  if (tenants.has_tenants()) message.erase(http::field::authorization);
  if (!tenant_name.empty()) {
    message.set(names.tenant, http::beast::string_view(tenant_name.data(), tenant_name.size()));
  }
}

}  // namespace frostline::calls
