/// @file How the forwarder reads answers, and what it notes about the servers that gave them.

#include <algorithm>

#include "calls/forwarder.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// An answer within the route's target_latency divided by this counts as fast, and its server is
/// preferred for later requests. An attempt that takes longer leaves no time for a second one
/// within the target.
constexpr int k_fast_answer_divisor = 2;
/// Time to read the rest of a failed answer before the next attempt. The head has arrived, so a
/// sound server needs little more; a longer wait would delay the next attempt.
constexpr milliseconds k_discard_timeout{100};
/// Share of the requests without a waiting client that may probe servers on probation.
constexpr double k_probe_share = 0.1;
/// The same for requests of clients. The 99th percentile of their latency has a target, so less
/// than one in a hundred may be slow.
constexpr double k_client_probe_share = 0.005;

}  // namespace

bool forwarder::is_refusal(http::response const& head) const {
  return !http::header(head, dependencies_.names.not_run).empty() ||
         head.result() == http::status::misdirected_request;
}

bool forwarder::accepts(request_state& state, exchange& upstream) {
  http::response const& head = upstream.head();
  measure_load(upstream);
  if (is_refusal(head)) {
    state.was_refused = true;
    dependencies_.selector.note_full(upstream.server().id, boot_clock::now());
    return false;
  }
  bool const failed = head.result_int() >= 500;
  bool const should_retry = failed && state.matched_route->is_repeatable() &&
                            state.attempts < state.matched_route->max_attempts;
  return !should_retry;
}

void forwarder::note_caller_left(request_state& state, exchange const& upstream) {
  dependencies_.selector.note_abandoned(upstream.server().id);
  measure_late(state, upstream);
  note_abandoned_run(state, upstream);
}

void forwarder::note_abandoned_run(request_state& state, exchange const& upstream) {
  if (!upstream.may_have_reached_server()) return;
  dependencies_.quarantine.note_abandoned_run(upstream.server(), fingerprint_of(state),
                                              state.attempt_started_at);
}

balancing::work_kind forwarder::work_of(request_state const& state) {
  return {state.service, state.matched_route->name};
}

milliseconds forwarder::time_spent(request_state const& state) {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - state.attempt_started_at);
}

double forwarder::probe_share(request_state const& state) {
  if (state.attempts > 0 || !state.matched_route->is_repeatable()) return 0;
  return state.client == nullptr ? k_probe_share : k_client_probe_share;
}

void forwarder::measure_load(exchange const& upstream) {
  auto const report = http::header(upstream.head(), dependencies_.names.server_load);
  if (report.empty()) return;
  dependencies_.selector.paces().note_report(upstream.server().id, report, boot_clock::now());
}

void forwarder::measure_answer(request_state const& state, exchange const& upstream) {
  bool const failed = upstream.head().result_int() >= 500;
  auto& paces = dependencies_.selector.paces();
  // The length of an event stream depends on its content.
  if (state.matched_route->kind == route_kind::streaming) {
    paces.note_result(upstream.server().id, failed, boot_clock::now());
  } else {
    paces.note_answer(work_of(state), upstream.server().id, time_spent(state), failed,
                      boot_clock::now());
  }
}

void forwarder::measure_failure(request_state const& state, exchange const& upstream,
                                exchange_failure failure) {
  bool const timed_out = failure == exchange_failure::timed_out;
  if (timed_out) measure_late(state, upstream);
  // A deadline that is earlier than the target says nothing about the server.
  bool const late = timed_out && time_spent(state) >= state.matched_route->target_latency;
  bool const unusable =
      failure == exchange_failure::broken || failure == exchange_failure::answer_too_large;
  if (!late && !unusable) return;
  dependencies_.selector.paces().note_result(upstream.server().id, true, boot_clock::now());
}

void forwarder::measure_late(request_state const& state, exchange const& upstream) {
  if (state.matched_route->kind == route_kind::streaming) return;
  if (!upstream.may_have_reached_server()) return;
  dependencies_.selector.paces().note_late(work_of(state), upstream.server().id, time_spent(state),
                                           boot_clock::now());
}

void forwarder::note_whole_answer(request_state& state, exchange const& upstream) {
  clear_suspicion(state, upstream);
  measure_answer(state, upstream);
  time_point const now = boot_clock::now();
  auto const took = now - state.attempt_started_at;
  bool const in_time = took <= state.matched_route->target_latency / k_fast_answer_divisor;
  bool const failed = upstream.head().result_int() >= 500;
  // A faulty server may fail requests much sooner than others answer them.
  if (!failed && state.matched_route->kind != route_kind::streaming) {
    times_.note_answer(state.service, std::chrono::duration_cast<milliseconds>(took), now);
  }
  if (in_time && !failed) {
    dependencies_.selector.note_fast_answer(upstream.server().id, now);
  } else {
    dependencies_.selector.note_answer(upstream.server().id);
  }
}

void forwarder::count_server_error(request_state& state, exchange const& upstream) {
  bool const failed = upstream.head().result() == http::status::internal_server_error;
  if (failed && upstream.is_whole_own_answer()) ++state.server_errors;
}

awaitable<void> forwarder::discard_answer(request_state& state, exchange& upstream) {
  time_point const deadline = std::min(state.deadline, boot_clock::now() + k_discard_timeout);
  std::string piece;
  auto failure = exchange_failure::none;
  while (failure == exchange_failure::none && !upstream.is_whole()) {
    failure = co_await upstream.read_piece(piece, deadline);
  }
  if (failure == exchange_failure::none) count_server_error(state, upstream);
  measure_answer(state, upstream);
  dependencies_.selector.note_answer(upstream.server().id);
  upstream.finish();
}

awaitable<exchange_failure> forwarder::read_body(request_state& state, exchange& upstream,
                                                 std::string& body) {
  bool const is_read = upstream.is_whole();
  if (!is_read && upstream.announced_body_size().value_or(0) > answers_.limit_bytes()) {
    co_return exchange_failure::answer_too_large;
  }
  // A body that grows step by step holds twice its size for a moment. The answer to HEAD announces
  // a size and has no body.
  if (!is_read) body.reserve(upstream.announced_body_size().value_or(0));
  state.answer_bytes = std::make_unique<answer_memory::reader>(answers_);
  std::string piece;
  while (!upstream.is_whole() || !upstream.head().body().empty()) {
    exchange_failure const failure = co_await upstream.read_piece(piece, state.deadline);
    if (failure != exchange_failure::none) co_return failure;
    bool const fits = state.answer_bytes->add(piece.size());
    body += piece;
    if (!fits) co_return exchange_failure::answer_too_large;
  }
  co_return exchange_failure::none;
}

awaitable<bool> forwarder::read_whole(request_state& state, exchange& upstream,
                                      http::response& whole_answer) {
  whole_answer.base() = upstream.head().base();
  state.attempt_timeout =
      std::chrono::duration_cast<milliseconds>(state.deadline - state.attempt_started_at);
  exchange_failure const failure = co_await read_body(state, upstream, whole_answer.body());
  if (failure != exchange_failure::none) {
    state.answer_bytes.reset();
    whole_answer.body() = std::string();
    note_failure(state, upstream, failure);
    co_return false;
  }
  strip_hop_by_hop(whole_answer);
  whole_answer.erase(http::field::content_length);
  count_server_error(state, upstream);
  note_whole_answer(state, upstream);
  upstream.finish();
  co_return true;
}

awaitable<call_outcome> forwarder::run_whole(request_state& state) {
  call_outcome outcome;
  times_.note_call(state.service);
  while (auto upstream = co_await next_exchange(state)) {
    if (co_await read_whole(state, *upstream, outcome.answer)) {
      outcome.attempts = state.attempts;
      outcome.server_errors = state.server_errors;
      outcome.server = state.server;
      co_return outcome;
    }
    outcome.answer = http::response();
  }
  outcome.reason = failure_reason(state);
  outcome.server_errors = state.server_errors;
  outcome.attempts = state.attempts;
  outcome.server = state.server;
  co_return outcome;
}

awaitable<call_outcome> forwarder::call(std::shared_ptr<route_table const> table,
                                        route const& matched_route, http::request message,
                                        time_point deadline, caller* client) {
  request_state state =
      begin(std::move(table), matched_route, std::move(message), deadline, client);
  co_return co_await run_whole(state);
}

}  // namespace frostline::calls
