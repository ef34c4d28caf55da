#include "calls/give_up.h"

#include <string>

namespace frostline::calls {
namespace {

/// Seconds after which a server that was full has mostly room again.
constexpr std::string_view k_retry_later = "0.3";
/// Seconds for a request under quarantine: most trials lie further apart, so a caller that comes
/// sooner is refused again.
constexpr std::string_view k_retry_quarantined = "60";

}  // namespace

std::string_view to_string(give_up_reason reason) {
  switch (reason) {
    case give_up_reason::none:
      return "none";
    case give_up_reason::no_configuration:
      return "no_configuration";
    case give_up_reason::no_route:
      return "no_route";
    case give_up_reason::no_server:
      return "no_server";
    case give_up_reason::servers_full:
      return "servers_full";
    case give_up_reason::deadline_not_run:
      return "deadline_not_run";
    case give_up_reason::deadline_unknown:
      return "deadline_unknown";
    case give_up_reason::outcome_unknown:
      return "outcome_unknown";
    case give_up_reason::caller_left:
      return "caller_left";
    case give_up_reason::quarantined:
      return "quarantined";
  }
  return "unknown";
}

http::response give_up_answer(give_up_reason reason) {
  http::status code = http::status::service_unavailable;
  if (reason == give_up_reason::no_route) code = http::status::not_found;
  if (reason == give_up_reason::outcome_unknown) code = http::status::bad_gateway;
  if (reason == give_up_reason::deadline_unknown) code = http::status::gateway_timeout;
  std::string body = "{\"reason\":\"" + std::string(to_string(reason)) + "\"}";
  http::response answer = http::make_response(code, std::move(body), http::k_problem_json);
  if (code == http::status::service_unavailable) {
    bool const held_back = reason == give_up_reason::quarantined;
    std::string_view const when = held_back ? k_retry_quarantined : k_retry_later;
    answer.set(http::field::retry_after, http::beast::string_view(when.data(), when.size()));
  }
  return answer;
}

}  // namespace frostline::calls
