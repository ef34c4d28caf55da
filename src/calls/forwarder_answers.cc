/// @file How the forwarder reads complete answers.

#include <algorithm>

#include "calls/forwarder.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// An answer within the route's target_latency divided by this counts as fast, and its server is
/// preferred for later requests. An attempt that takes longer leaves no time for a second one
/// within the target.
constexpr int k_fast_answer_divisor = 2;
constexpr std::size_t k_max_answer_bytes = 64 * 1024 * 1024;
/// Time to read the rest of a failed answer before the next attempt. The head has arrived, so a
/// sound server needs little more; a longer wait would delay the next attempt.
constexpr milliseconds k_discard_timeout{100};

}  // namespace

void forwarder::note_whole_answer(request_state& state, exchange const& upstream) {
  clear_suspicion(state, upstream);
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
  dependencies_.selector.note_answer(upstream.server().id);
  upstream.finish();
}

awaitable<bool> forwarder::read_whole(request_state& state, exchange& upstream,
                                      http::response& whole_answer) {
  whole_answer.base() = upstream.head().base();
  state.attempt_timeout =
      std::chrono::duration_cast<milliseconds>(state.deadline - state.attempt_started_at);
  std::string piece;
  while (!upstream.is_whole() || !upstream.head().body().empty()) {
    exchange_failure const failure = co_await upstream.read_piece(piece, state.deadline);
    if (failure != exchange_failure::none) {
      note_failure(state, upstream, failure);
      co_return false;
    }
    whole_answer.body() += piece;
    if (whole_answer.body().size() > k_max_answer_bytes) co_return false;
  }
  count_server_error(state, upstream);
  note_whole_answer(state, upstream);
  upstream.finish();
  co_return true;
}

awaitable<call_outcome> forwarder::run_whole(request_state& state) {
  call_outcome outcome;
  times_.note_call(state.service);
  while (auto upstream = co_await next_exchange(state)) {
    bool const whole = co_await read_whole(state, *upstream, outcome.answer);
    if (state.client != nullptr) state.client->on_disconnect(nullptr);
    if (whole) {
      strip_hop_by_hop(outcome.answer);
      outcome.answer.erase(http::field::content_length);
      outcome.attempts = state.attempts;
      outcome.server_errors = state.server_errors;
      outcome.server = state.server;
      co_return outcome;
    }
    outcome.answer = http::response();
  }
  outcome.reason = state.reason;
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
