/// @file Names of the headers that clients, the gateway and servers exchange. An adapter replaces
/// the defaults by the names of its platform.
#pragma once

#include <string>

namespace frostline::calls {

struct header_names {
  /// Identifies one request of a client; servers repeat it in their answers.
  std::string request_id = "Request-Id";
  /// Time in milliseconds, from the arrival of the request, for which the sender will wait.
  std::string deadline = "Request-Deadline-Ms";
  /// Id of the server that the request is meant for; any other server refuses it.
  std::string expected_instance = "Expected-Instance";
  /// In a server's answer: states that the server has not run the request.
  std::string not_run = "Request-Not-Run";
  /// In a server's answer: proof that this server sent it.
  std::string stamp = "Server-Stamp";
  /// In a server's answer: its load, in the format of balancing::parse_load_report.
  std::string server_load = "Server-Load";
  /// In an engine's answer, and in lower case in an event: version of the weights.
  std::string versions = "Weight-Versions";
  /// In a request that resumes an event stream: id of the last event received.
  std::string last_event_id = "Last-Event-Id";
  /// Tenant of the request, for the server. Only the gateway sets it.
  std::string tenant = "Tenant";
};

}  // namespace frostline::calls
