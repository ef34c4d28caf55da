/// @file Proxy for ordinary calls: forwards a request to an application server and returns its
/// complete response.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "config/store.h"
#include "http/client.h"
#include "machines/machine_list.h"
#include "routing/admission.h"
#include "routing/back_end_picker.h"
#include "routing/claim_store.h"
#include "routing/metrics.h"
#include "routing/retry_budget.h"
#include "rpc/problem.h"

namespace frostline::routing {

/// Request header that identifies a request which must run at most once.
inline constexpr std::string_view k_request_identifier = "Idempotency-Key";
/// Response header of a back end that refused the request without running it.
inline constexpr std::string_view k_not_run_header = "Request-Not-Run";
/// Response header of a back end that is leaving.
inline constexpr std::string_view k_leaving_header = "Backend-Leaving";

/// Callbacks from the proxy into the node.
struct proxy_hooks {
  /// Returns true if this node may be partitioned and must not send new requests.
  std::function<bool()> is_cut_off;
  /// Returns true if a server must not get new requests.
  std::function<bool(machines::machine const&)> is_leaving;
  /// Called when a response announces that the server is leaving.
  std::function<void(machines::machine const&)> on_server_leaving;
};

class proxy {
 public:
  proxy(asio::io_context& context, http::client& transport, config::store const& config,
        machines::machine_list const& machines, claim_store& claim_registry, metrics& call_metrics,
        proxy_hooks hooks);

  /// Handles one request. Failures are answered with a problem body.
  awaitable<http::response> handle(http::request message);

 private:
  using call_reply = rpc::reply<http::response>;

  struct route_state {
    explicit route_state(asio::io_context& context) : gate(context) {}
    admission_gate gate;
    retry_budget budget;
  };
  /// State of one request while it is handled.
  struct call {
    http::request message;
    rpc::RouteRecordT route;
    time_point deadline;
    std::set<std::string> tried;
  };
  /// Outcome of one attempt.
  struct try_outcome {
    std::optional<http::response> answer;
    /// Valid only if there is no answer.
    rpc::problem issue;
    /// The back end did not run the request: it may be retried even if the route is not repeatable.
    bool not_run = false;
  };

  awaitable<call_reply> serve(call& current, route_state& state);
  awaitable<call_reply> send_with_retries(call& current, route_state& state);
  awaitable<try_outcome> try_once(call& current, machines::machine const& server);
  awaitable<std::optional<rpc::problem>> claim_identifier(call const& current);
  std::vector<std::string> usable_servers(rpc::RouteRecordT const& route) const;
  try_outcome process_answer(machines::machine const& server, http::response answer);
  try_outcome process_error(machines::machine const& server, std::error_code error);
  route_state& state_of(rpc::RouteRecordT const& route);

  asio::io_context& context_;
  http::client& transport_;
  config::store const& config_;
  machines::machine_list const& machines_;
  claim_store& claims_;
  metrics& metrics_;
  proxy_hooks hooks_;
  back_end_picker picker_;
  std::map<std::string, std::unique_ptr<route_state>> states_;
};

}  // namespace frostline::routing
