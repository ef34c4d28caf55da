#include "calls/call_failure.h"

#include <algorithm>
#include <string>

namespace frostline::calls {
namespace {

/// Retry-After in seconds of all 503 responses except those for quarantined requests and of a
/// stopping node. A full server usually has a free slot by then.
constexpr std::string_view k_full_server_retry_after = "0.3";
/// A new connection goes to another node, which can serve the request at once.
constexpr std::string_view k_stopping_retry_after = "0";
/// Upper bound of Retry-After for quarantined requests, also sent if no trial is scheduled. The
/// next trial may be due later than this.
constexpr seconds k_max_retry_after{60};

/// Clients take statuses 404 and 503 as a promise that the request has not run, so each reason that
/// gets one of them is listed.
http::status status_of(call_failure reason) {
  switch (reason) {
    case call_failure::no_route:
      return http::status::not_found;
    case call_failure::no_configuration:
    case call_failure::no_server:
    case call_failure::servers_full:
    case call_failure::deadline_not_run:
    case call_failure::quarantined:
    case call_failure::stopping:
    case call_failure::no_memory:
      return http::status::service_unavailable;
    case call_failure::deadline_unknown:
      return http::status::gateway_timeout;
    case call_failure::none:
    case call_failure::outcome_unknown:
    case call_failure::caller_left:
      break;
  }
  return http::status::bad_gateway;
}

std::string seconds_until(std::optional<milliseconds> retry_delay) {
  seconds const delay = std::chrono::ceil<seconds>(retry_delay.value_or(k_max_retry_after));
  return std::to_string(std::clamp(delay, seconds(1), k_max_retry_after).count());
}

std::string retry_after(call_failure reason, std::optional<milliseconds> retry_delay) {
  if (reason == call_failure::quarantined) return seconds_until(retry_delay);
  return std::string(reason == call_failure::stopping ? k_stopping_retry_after
                                                      : k_full_server_retry_after);
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
    case call_failure::stopping:
      return "stopping";
    case call_failure::no_memory:
      return "no_memory";
  }
  return "unknown";
}

http::response failure_response(call_failure reason, std::optional<milliseconds> retry_delay) {
  http::status const code = status_of(reason);
  std::string body = "{\"reason\":\"" + std::string(to_string(reason)) + "\"}";
  http::response answer = http::make_response(code, std::move(body), http::k_problem_json);
  if (code == http::status::service_unavailable) {
    answer.set(http::field::retry_after, retry_after(reason, retry_delay));
  }
  return answer;
}

}  // namespace frostline::calls
