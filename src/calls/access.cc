#include "calls/access.h"

namespace frostline::calls {

access check_access(route_table const& table, http::request const& message, bool is_public) {
  access found;
  found.verdict =
      table.tenants().check(http::to_string_view(message[http::field::authorization]), found.who);
  // Which of several a server behind another proxy would have taken can't be told.
  bool const ambiguous = message.count(http::field::authorization) > 1;
  if (ambiguous && found.verdict == credentials::valid) {
    found.verdict = credentials::unknown;
    found.who = nullptr;
  }
  bool const proven =
      found.verdict == credentials::valid || found.verdict == credentials::not_needed;
  found.is_granted = proven || is_public;
  return found;
}

http::response access_denied_answer(credentials verdict) {
  std::string const reason(to_string(verdict));
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
