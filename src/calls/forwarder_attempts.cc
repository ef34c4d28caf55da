/// @file The forwarder's attempts: how long they may take, and how they are sent.

#include <algorithm>

#include "calls/forwarder.h"

namespace frostline::calls {
namespace {

/// Minimum time for an attempt that is not the last one, unless the deadline is earlier or the
/// service's response times allow less.
constexpr milliseconds k_min_attempt_timeout{250};

milliseconds whole_milliseconds(boot_clock::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace

forwarder::attempt_deadlines forwarder::attempt_deadline(request_state const& state,
                                                         time_point now) const {
  bool const last =
      state.attempts >= state.matched_route->max_attempts || !state.matched_route->is_repeatable();
  if (last) return {state.deadline, std::nullopt};
  milliseconds const attempt_share =
      std::max(state.matched_route->target_latency * 2, k_min_attempt_timeout);
  time_point const usual = std::min(state.deadline, now + attempt_share);
  // A later attempt is not ended early: if the request itself takes long, each server would be
  // abandoned in turn, and none would have the time to answer. The time to the head of an event
  // stream is not comparable with that to a complete answer. A trial is sent once, and its outcome
  // decides a quarantine.
  bool const may_end_early = dependencies_.times_attempts() && state.attempts <= 1 &&
                             !state.is_trial && state.matched_route->kind != route_kind::streaming;
  if (!may_end_early) return {usual, std::nullopt};
  balancing::attempt_limit const limit =
      times_.timeout(state.service, attempt_share, whole_milliseconds(state.deadline - now), now);
  if (!limit.early) return {usual, std::nullopt};
  return {usual, now + limit.timeout};
}

std::shared_ptr<boot_timer> forwarder::start_early_timer(request_state& state, exchange& upstream,
                                                         time_point limit) {
  auto timer = std::make_shared<boot_timer>(dependencies_.context, limit);
  // The handler may already be queued when the timer is destroyed, so it checks for that.
  timer->async_wait([this, &state, &upstream, guard = std::weak_ptr<boot_timer>(timer)](
                        boost::system::error_code const& failure) {
    if (!failure && !guard.expired()) end_early(state, upstream);
  });
  return timer;
}

void forwarder::end_early(request_state& state, exchange& upstream) {
  if (!times_.take_token(state.service)) {
    ++counters_.early_timeouts_denied;
    return;
  }
  ++counters_.early_timeouts;
  state.timed_out_early = true;
  upstream.expire();
}

awaitable<exchange_failure> forwarder::attempt(request_state& state, exchange& upstream) {
  // At least 1 ms: a server may read 0 as "no deadline".
  milliseconds const remaining = std::max(time_left(state.deadline), milliseconds(1));
  state.message.set(dependencies_.names.deadline, std::to_string(remaining.count()));
  state.message.set(dependencies_.names.expected_instance, upstream.server().id);
  bool const repeatable = state.matched_route->is_repeatable();
  auto choice = repeatable ? connection_choice::pooled : connection_choice::recently_used;
  if (state.is_trial || state.saw_silent_connection) choice = connection_choice::new_connection;
  time_point const now = boot_clock::now();
  auto const [deadline, early] = attempt_deadline(state, now);
  state.timed_out_early = false;
  std::shared_ptr<boot_timer> early_timer;
  if (early) early_timer = start_early_timer(state, upstream, *early);
  exchange_failure failure = co_await upstream.send(state.message, choice, deadline);
  if (failure == exchange_failure::none) failure = co_await upstream.read_head(deadline);
  if (failure == exchange_failure::stale_connection && repeatable && !state.timed_out_early) {
    upstream.note_resent();
    failure = co_await upstream.send(state.message, connection_choice::new_connection, deadline);
    if (failure == exchange_failure::none) failure = co_await upstream.read_head(deadline);
    // The first send may have crashed the server, so the attempt counts. Otherwise one request
    // could crash more servers than it has attempts, and be reported as not run.
    if (failure == exchange_failure::not_connected) failure = exchange_failure::broken;
  }
  state.attempt_timeout = whole_milliseconds((state.timed_out_early ? *early : deadline) - now);
  // The head may have been received before the connection was closed, but no body follows it.
  bool const lost_answer = state.timed_out_early && failure == exchange_failure::none;
  co_return lost_answer ? exchange_failure::timed_out : failure;
}

void forwarder::note_timeout(request_state& state, exchange const& upstream) {
  note_abandoned_run(state, upstream);
  if (state.matched_route->kind == route_kind::streaming) return;
  time_point const now = boot_clock::now();
  times_.note_timeout(state.service, whole_milliseconds(now - state.attempt_started_at), now);
}

}  // namespace frostline::calls
