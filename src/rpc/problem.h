/// @file Error responses to callers: RFC 9457 problem details with a reason, whether the request
/// may have run, and when to retry.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

#include "base/time.h"
#include "http/message.h"

namespace frostline::rpc {

/// Tells the caller whether a failed request may have been run.
enum class run_state {
  /// The request has certainly not run.
  not_run,
  /// The request may have run.
  unknown,
};

/// Reasons why a request is rejected or fails, as reported in logs, metrics and responses.
enum class reason {
  malformed_request,
  unknown_method,
  no_route,
  not_found,
  conflict,
  superseded,
  over_limit,
  queue_full,
  queue_deadline,
  no_back_end,
  not_ready,
  draining,
  cut_off,
  claim_taken,
  claim_unreadable,
  retry_budget_spent,
  owner_unknown,
  kv_unavailable,
  outcome_unknown,
  back_end_failed,
  back_end_deadline,
  internal_error,
};

/// Stable name of a reason, such as "queue_full".
std::string_view to_string(reason why);

struct problem {
  http::status code = http::status::internal_server_error;
  reason why = reason::internal_error;
  std::string detail;
  /// Callers may repeat a request that was not run, so that is never the default.
  run_state state = run_state::unknown;
  /// Suggested delay before a retry; zero if no retry is suggested.
  milliseconds retry_after{0};
};

/// A value, or a problem.
template <class Value>
using reply = boost::outcome_v2::basic_result<Value, problem, boost::outcome_v2::policy::terminate>;

/// Problem for a request that was not run and may be retried after `retry_after`.
problem unavailable(reason why, std::string detail, milliseconds retry_after);
/// Problem for a malformed request.
problem bad_request(std::string detail);
/// Problem for a request that may have run.
problem unknown_outcome(reason why, std::string detail);

/// Renders a problem as a response. A nonzero `retry_after` also sets the Retry-After header,
/// rounded up to whole seconds.
http::response to_response(problem const& error);

/// Parses the problem in a response whose status is not 200. If the body is not a JSON object, the
/// request may have run.
problem from_response(http::response const& answer);

}  // namespace frostline::rpc
