/// @file Reasons why a request got no answer from a server, and the response for each.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "http/message.h"

namespace frostline::calls {

/// Why a request got no answer from a server.
enum class call_failure {
  /// A server answered, so there is no failure.
  none,
  /// This node has no configuration or no server directory yet.
  no_configuration,
  no_route,
  /// No server was ready, or none could be connected to.
  no_server,
  /// At least one server refused the request, and none can have run it.
  servers_full,
  /// The deadline passed before any server could have run the request.
  deadline_not_run,
  /// The deadline passed, and a server may have run the request.
  deadline_unknown,
  /// A server failed and may have run the request.
  outcome_unknown,
  /// The client disconnected.
  caller_left,
  /// The quarantine forbids sending the request, since it may crash servers; it has not run.
  quarantined,
  /// This node stops before the request's deadline; it has not run.
  stopping,
  /// The bodies of other requests take all memory of this node; it has not run.
  no_memory,
};

std::string_view to_string(call_failure reason);

/// Makes the response for a request without a server's answer. Reasons that state that the request
/// has not run give status 503 with a Retry-After header, or 404 for no_route. All others give 502,
/// or 504 for deadline_unknown, which promise nothing.
/// @param retry_delay time until the next trial of a quarantined request; nullopt: the longest
/// delay is sent. Ignored for other reasons.
http::response failure_response(call_failure reason,
                                std::optional<milliseconds> retry_delay = std::nullopt);

}  // namespace frostline::calls
