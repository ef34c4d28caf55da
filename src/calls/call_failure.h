/// @file Reasons why a request got no answer from a server, and the response for each.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "http/message.h"

namespace frostline::calls {

/// Why a request got no answer from a server.
enum class call_failure {
  none,
  no_configuration,
  no_route,
  no_server,
  /// Every server that was asked refused the request, so it has not run.
  servers_full,
  /// The deadline passed before any server could have run the request.
  deadline_not_run,
  /// The deadline passed while a server may have been running the request.
  deadline_unknown,
  /// A server failed and may have run the request.
  outcome_unknown,
  caller_left,
  /// Quarantined as a poison request and sent to no server; this call has not run it.
  quarantined,
};

std::string_view to_string(call_failure reason);

/// Makes the response for a request without a server's answer. It has a Retry-After header if the
/// request has not run.
/// @param retry_delay for a quarantined request: time until its next trial; without it the longest
/// delay is sent. The first trial comes soon, so that a request that merely ran during a crash is
/// served again early.
http::response failure_response(call_failure reason,
                                std::optional<milliseconds> retry_delay = std::nullopt);

}  // namespace frostline::calls
