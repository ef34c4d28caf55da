/// @file Ordinary calls: from a caller's request to an application server's whole answer.
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

/// Header with which a caller identifies a request that must not run twice.
inline constexpr std::string_view k_request_identifier = "Idempotency-Key";
/// A back end's documented signal that it refused and did not run the request.
inline constexpr std::string_view k_not_run_header = "Request-Not-Run";
/// A back end's documented signal that it is leaving.
inline constexpr std::string_view k_leaving_header = "Backend-Leaving";

/// What the proxy asks of, and tells, the rest of the node.
struct proxy_hooks {
  /// Whether this node may be cut off and must send nothing new.
  std::function<bool()> is_cut_off;
  /// Whether a server must get nothing new.
  std::function<bool(machines::machine const&)> is_leaving;
  /// A server has said in an answer that it leaves.
  std::function<void(machines::machine const&)> on_server_leaving;
};

class proxy {
 public:
  proxy(asio::io_context& context, http::client& transport, config::store const& config,
        machines::machine_list const& machines, claim_store& claim_registry, metrics& counters,
        proxy_hooks hooks);

  /// Answers one request; a problem is answered at once.
  awaitable<http::response> handle(http::request message);

 private:
  using call_reply = rpc::reply<http::response>;

  struct route_state {
    explicit route_state(asio::io_context& context) : gate(context) {}
    admission_gate gate;
    retry_budget budget;
  };
  /// One request on its way.
  struct call {
    http::request message;
    rpc::RouteRecordT route;
    time_point deadline;
    std::set<std::string> tried;
  };
  /// What one try came to.
  struct try_outcome {
    std::optional<http::response> answer;
    rpc::problem issue;
    /// Proved not to have run: may be tried elsewhere, whatever the route.
    bool not_run = false;
  };

  awaitable<call_reply> serve(call& one, route_state& state);
  awaitable<call_reply> send_with_retries(call& one, route_state& state);
  awaitable<try_outcome> try_once(call& one, machines::machine const& server);
  awaitable<std::optional<rpc::problem>> claim_identifier(call const& one);
  std::vector<std::string> usable_servers(rpc::RouteRecordT const& route) const;
  try_outcome take_answer(machines::machine const& server, http::response answer);
  try_outcome take_error(machines::machine const& server, std::error_code error);
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
