/// @file The one shape of a refusal or failure towards callers: RFC 9457 problem details with a
/// named reason, whether the request was run, and when to come back.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

#include "base/time.h"
#include "http/message.h"

namespace frostline::rpc {

/// Whether the work behind an answer may have been done.
enum class run_state {
  /// Proved not to have run.
  not_run,
  /// May have run.
  unknown,
};

/// Every cause for which frostline refuses or fails, as in logs, metrics and answers.
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
  run_state state = run_state::not_run;
  /// When to come back; zero if coming back does not help.
  milliseconds retry_after{0};
};

/// Value or a problem.
template <class Value>
using reply = boost::outcome_v2::basic_result<Value, problem, boost::outcome_v2::policy::terminate>;

/// A refusal that is worth trying again.
problem unavailable(reason why, std::string detail, milliseconds retry_after);
/// A request that can't succeed as it is.
problem bad_request(std::string detail);
/// A request that may have run.
problem unknown_outcome(reason why, std::string detail);

/// Renders a problem with its Retry-After header (whole seconds, at least 1).
http::response to_response(problem const& issue);

/// Reads a problem back from an answer that is not 200.
problem from_response(http::response const& answer);

}  // namespace frostline::rpc
