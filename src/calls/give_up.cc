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

http::response give_up_answer(give_up_reason reason, std::optional<milliseconds> next_try) {
  http::status code = http::status::service_unavailable;
  if (reason == give_up_reason::no_route) code = http::status::not_found;
  if (reason == give_up_reason::outcome_unknown) code = http::status::bad_gateway;
  if (reason == give_up_reason::deadline_unknown) code = http::status::gateway_timeout;
  std::string body = "{\"reason\":\"" + std::string(to_string(reason)) + "\"}";
  http::response answer = http::make_response(code, std::move(body), http::k_problem_json);
  if (code == http::status::service_unavailable) {
    bool const held_back = reason == give_up_reason::quarantined;
    answer.set(http::field::retry_after,
               held_back ? seconds_until(next_try) : std::string(k_retry_later));
  }
  return answer;
}

}  // namespace frostline::calls
