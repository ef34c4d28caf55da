#include "routing/proxy.h"

#include "base/log.h"

namespace frostline::routing {
namespace {

constexpr std::string_view k_part = "routing";
constexpr milliseconds k_cut_off_retry{1000};
constexpr milliseconds k_no_back_end_retry{500};
constexpr milliseconds k_claim_retry{1000};
constexpr std::uint64_t k_picker_seed = 1;

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
constexpr http::field k_hop_by_hop[] = {
    http::field::connection, http::field::keep_alive,        http::field::proxy_connection,
    http::field::te,         http::field::transfer_encoding, http::field::upgrade,
    http::field::trailer,
};

template <class Message>
void strip_hop_by_hop(Message& message) {
  for (http::field name : k_hop_by_hop) message.erase(name);
}

}  // namespace

proxy::proxy(asio::io_context& context, http::client& transport, config::store const& config,
             machines::machine_list const& machines, claim_store& claim_registry,
             metrics& call_metrics, proxy_hooks hooks)
    : context_(context),
      transport_(transport),
      config_(config),
      machines_(machines),
      claims_(claim_registry),
      metrics_(call_metrics),
      hooks_(std::move(hooks)),
      picker_(k_picker_seed) {}

proxy::route_state& proxy::state_of(rpc::RouteRecordT const& route) {
  auto& state = states_[route.name];
  if (!state) state = std::make_unique<route_state>(context_);
  state->gate.set_limits(route.max_concurrent, route.max_queued);
  state->budget.set_percent(route.retry_budget_percent);
  return *state;
}

awaitable<http::response> proxy::handle(http::request message) {
  time_point const start = boot_clock::now();
  std::string const path(message.target());
  if (!config_.is_complete()) {
    co_return rpc::to_response(rpc::unavailable(
        rpc::reason::not_ready, "this node has no configuration yet", k_no_back_end_retry));
  }
  auto const* route = config_.match_route(path);
  if (route == nullptr) {
    rpc::problem const issue{http::status::not_found, rpc::reason::no_route,
                             "no route for this path", rpc::run_state::not_run};
    co_return rpc::to_response(issue);
  }
  call current;
  current.message = std::move(message);
  current.route = route->record;
  current.deadline = start + milliseconds(route->record.deadline_ms);
  strip_hop_by_hop(current.message);
  auto answer = co_await serve(current, state_of(current.route));
  if (!answer) {
    metrics_.count_problem(current.route.name, answer.error().why);
    co_return rpc::to_response(answer.error());
  }
  auto const duration = std::chrono::duration_cast<milliseconds>(boot_clock::now() - start);
  metrics_.count_answer(current.route.name, duration);
  co_return std::move(answer.value());
}

awaitable<proxy::call_reply> proxy::serve(call& current, route_state& state) {
  if (hooks_.is_cut_off()) {
    co_return rpc::unavailable(rpc::reason::cut_off, "this node may be cut off", k_cut_off_retry);
  }
  admission_result const admitted = co_await state.gate.enter(current.deadline);
  if (admitted != admission_result::admitted) {
    bool const full = admitted == admission_result::queue_full;
    co_return rpc::unavailable(full ? rpc::reason::queue_full : rpc::reason::queue_deadline,
                               "route is at its limit", state.gate.retry_after());
  }
  auto answer = co_await send_with_retries(current, state);
  state.gate.leave();
  co_return answer;
}

std::vector<std::string> proxy::usable_servers(rpc::RouteRecordT const& route) const {
  std::vector<std::string> usable;
  for (std::string const& id : route.backends) {
    machines::machine const* server = machines_.find(id);
    if (server == nullptr || server->leaving) continue;
    if (!hooks_.is_leaving(*server)) usable.push_back(id);
  }
  return usable;
}

awaitable<std::optional<rpc::problem>> proxy::claim_identifier(call const& current) {
  std::string identifier(http::header(current.message, k_request_identifier));
  if (current.route.repeatable || identifier.empty()) co_return std::nullopt;
  std::string route = current.route.name;
  claim_result const held = co_await claims_.claim(std::move(route), std::move(identifier));
  switch (held) {
    case claim_result::acquired:
      co_return std::nullopt;
    case claim_result::taken:
      co_return rpc::problem{http::status::conflict, rpc::reason::claim_taken,
                             "a request with this identifier was sent before; its outcome is not "
                             "known here",
                             rpc::run_state::unknown};
    case claim_result::unreadable:
      // An earlier request with this identifier may have run, so the state is unknown.
      co_return rpc::problem{http::status::service_unavailable, rpc::reason::claim_unreadable,
                             "it can't be known now whether this identifier was used",
                             rpc::run_state::unknown, k_claim_retry};
  }
  co_return std::nullopt;
}

awaitable<proxy::call_reply> proxy::send_with_retries(call& current, route_state& state) {
  bool claimed = false;
  bool may_have_run = false;
  state.budget.note_first_try();
  rpc::problem last_problem = rpc::unavailable(rpc::reason::no_back_end,
                                               "no back end takes this route", k_no_back_end_retry);
  while (time_left(current.deadline).count() > 0) {
    auto const chosen =
        picker_.pick(usable_servers(current.route), current.tried, boot_clock::now());
    machines::machine const* found = chosen ? machines_.find(*chosen) : nullptr;
    if (found == nullptr) co_return last_problem;
    if (!claimed) {
      auto refusal = co_await claim_identifier(current);
      if (refusal) co_return std::move(*refusal);
      claimed = true;
      // The server or this node may have changed state during the claim: check again.
      continue;
    }
    if (hooks_.is_cut_off()) {
      if (may_have_run) co_return last_problem;
      co_return rpc::unavailable(rpc::reason::cut_off, "this node may be cut off", k_cut_off_retry);
    }
    machines::machine const server = *found;
    current.tried.insert(server.id);
    try_outcome outcome = co_await try_once(current, server);
    if (outcome.answer) co_return std::move(*outcome.answer);
    // A refusal by one back end does not tell whether an earlier one has run the request.
    if (!outcome.not_run || !may_have_run) last_problem = outcome.issue;
    may_have_run = may_have_run || !outcome.not_run;
    if (!current.route.repeatable && !outcome.not_run) co_return last_problem;
    if (!state.budget.try_spend()) {
      log_line(log_level::warning, k_part, "Retry budget exhausted.",
               {{"route", current.route.name}});
      co_return last_problem;
    }
    metrics_.count_retry(current.route.name);
  }
  if (current.tried.empty()) {
    last_problem = rpc::unavailable(rpc::reason::queue_deadline, "deadline passed before sending",
                                    state.gate.retry_after());
  }
  co_return last_problem;
}

awaitable<proxy::try_outcome> proxy::try_once(call& current, machines::machine const& server) {
  auto const use =
      current.route.repeatable ? http::connection_use::pooled : http::connection_use::fresh;
  http::request copy = current.message;
  picker_.note_sent(server.id);
  auto answer = co_await transport_.exchange(server.address, std::move(copy),
                                             time_left(current.deadline), use);
  if (!answer) co_return process_error(server, answer.error());
  co_return process_answer(server, std::move(answer.value()));
}

proxy::try_outcome proxy::process_answer(machines::machine const& server, http::response answer) {
  picker_.note_answer(server.id);
  if (!http::header(answer, k_leaving_header).empty()) hooks_.on_server_leaving(server);
  try_outcome outcome;
  if (!http::header(answer, k_not_run_header).empty()) {
    outcome.not_run = true;
    outcome.issue = rpc::unavailable(rpc::reason::no_back_end, "back end " + server.id + " refused",
                                     k_no_back_end_retry);
    return outcome;
  }
  strip_hop_by_hop(answer);
  outcome.answer = std::move(answer);
  return outcome;
}

proxy::try_outcome proxy::process_error(machines::machine const& server, std::error_code error) {
  picker_.note_failure(server.id, boot_clock::now());
  try_outcome outcome;
  std::string detail = "back end " + server.id + ": " + error.message();
  if (error == http::errc::connect_failed) {
    outcome.not_run = true;
    outcome.issue =
        rpc::unavailable(rpc::reason::no_back_end, std::move(detail), k_no_back_end_retry);
    return outcome;
  }
  bool const timed_out = error == http::errc::deadline_exceeded;
  outcome.issue = rpc::unknown_outcome(
      timed_out ? rpc::reason::back_end_deadline : rpc::reason::back_end_failed, std::move(detail));
  if (timed_out) outcome.issue.code = http::status::gateway_timeout;
  return outcome;
}

}  // namespace frostline::routing
