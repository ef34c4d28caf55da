/// @file Names of the headers that callers, the gateway and servers exchange. The defaults are the
/// product's own; an adapter sets those of the platform it stands on.
#pragma once

#include <string>

namespace frostline::calls {

struct header_names {
  /// Identifies one request of a client; the server repeats it in its answer.
  std::string request_id = "Request-Id";
  /// Milliseconds that the sender will wait.
  std::string deadline = "Request-Deadline-Ms";
  /// Names the server that a request is meant for; any other refuses it.
  std::string expected_instance = "Expected-Instance";
  /// On a server's answer: it has not run the request.
  std::string not_run = "Request-Not-Run";
  /// On a server's answer: proof that it is this server's.
  std::string stamp = "Server-Stamp";
  /// On an engine's answer, and in lower case on an event: version of the weights.
  std::string versions = "Weight-Versions";
  std::string last_event_id = "Last-Event-Id";
  /// Names to the server the tenant that a request is made for. Only this system sets it.
  std::string tenant = "Tenant";
};

}  // namespace frostline::calls
