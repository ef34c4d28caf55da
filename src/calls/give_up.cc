#include "calls/give_up.h"

#include <algorithm>
#include <string>

namespace frostline::calls {
namespace {

/// Seconds after which a server that was full has mostly room again.
constexpr std::string_view k_retry_later = "0.3";
/// For a request under quarantine: its later trials lie further apart, so a caller that comes
/// sooner is refused again.
constexpr seconds k_longest_pause{60};

std::string seconds_until(std::optional<milliseconds> next_try) {
  seconds const pause = std::chrono::ceil<seconds>(next_try.value_or(k_longest_pause));
  return std::to_string(std::clamp(pause, seconds(1), k_longest_pause).count());
}

}  // namespace

std::string_view to_string(call_failure reason) {
  switch (reason) {
    case call_failure::none:
      return "none";
    case call_failure::no_configuration:
      return "no_configuration";
    case call_failure::no_route:
      return "no_route";
    case call_failure::no_server:
      return "no_server";
    case call_failure::servers_full:
      return "servers_full";
    case call_failure::deadline_not_run:
      return "deadline_not_run";
    case call_failure::deadline_unknown:
      return "deadline_unknown";
    case call_failure::outcome_unknown:
      return "outcome_unknown";
    case call_failure::caller_left:
      return "caller_left";
    case call_failure::quarantined:
      return "quarantined";
  }
  return "unknown";
}

http::response give_up_answer(call_failure reason, std::optional<milliseconds> next_try) {
  http::status code = http::status::service_unavailable;
  if (reason == call_failure::no_route) code = http::status::not_found;
  if (reason == call_failure::outcome_unknown) code = http::status::bad_gateway;
  if (reason == call_failure::deadline_unknown) code = http::status::gateway_timeout;
  std::string body = "{\"reason\":\"" + std::string(to_string(reason)) + "\"}";
  http::response answer = http::make_response(code, std::move(body), http::k_problem_json);
  if (code == http::status::service_unavailable) {
    bool const held_back = reason == call_failure::quarantined;
    answer.set(http::field::retry_after,
               held_back ? seconds_until(next_try) : std::string(k_retry_later));
  }
  return answer;
}

}  // namespace frostline::calls
