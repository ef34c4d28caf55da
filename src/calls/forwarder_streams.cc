/// @file The forwarder's handling of event streams.

#include <algorithm>

#include "calls/forwarder.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// An event stream that sends no event for this long counts as failed if another server can go on
/// with it. If none can, silence is no reason to end it: the server may have put the request back.
constexpr milliseconds k_stream_idle_timeout{1800};
/// Time without a byte after which a server counts as silent, not as one that sends bytes without
/// an event.
constexpr milliseconds k_min_silence{1000};

}  // namespace

bool forwarder::can_go_on_elsewhere(request_state const& state) {
  return state.matched_route->is_repeatable() && state.attempts < state.matched_route->max_attempts;
}

awaitable<void> forwarder::run_stream(request_state& state) {
  event_splitter splitter(dependencies_.names.versions);
  bool begun = false;
  while (auto upstream = co_await next_exchange(state)) {
    if (has_events(upstream->head())) {
      if (co_await forward_events(state, *upstream, splitter, begun)) co_return;
      splitter.reset();
    } else if (begun) {
      // The client has the head of another answer, so that this one can't be passed on.
      co_await discard_answer(state, *upstream);
    } else {
      http::response whole;
      if (!co_await read_whole(state, *upstream, whole)) continue;
      co_await pass_on(state, std::move(whole));
      co_return;
    }
  }
  if (begun) {
    note_truncated(state);
  } else {
    co_await answer_failure(state, failure_reason(state));
  }
}

awaitable<bool> forwarder::forward_events(request_state& state, exchange& upstream,
                                          event_splitter& splitter, bool& begun) {
  if (!begun) {
    http::response head;
    head.base() = upstream.head().base();
    strip_hop_by_hop(head);
    head.erase(http::field::content_length);
    begun = true;
    if (!co_await state.client->begin(std::move(head))) {
      note_caller_left(state, upstream);
      co_return false;
    }
  }
  bool const ends_when_silent = can_go_on_elsewhere(state);
  if (ends_when_silent) state.attempt_timeout = k_stream_idle_timeout;
  time_point last_event_at = boot_clock::now();
  std::string piece;
  while (true) {
    if (upstream.is_whole() && upstream.head().body().empty()) break;
    time_point const read_begun_at = boot_clock::now();
    time_point const idle_deadline =
        ends_when_silent ? std::min(read_begun_at + k_stream_idle_timeout, state.deadline)
                         : state.deadline;
    exchange_failure failure = co_await upstream.read_piece(piece, idle_deadline);
    time_point const now = boot_clock::now();
    bool const was_silent = now > read_begun_at + k_min_silence;
    if (was_silent && !ends_when_silent) last_event_at = now;
    std::string whole_events;
    for (stream_event const& event : splitter.feed(piece)) {
      if (event.id) state.message.set(dependencies_.names.last_event_id, std::to_string(*event.id));
      if (event.has_content) last_event_at = now;
      whole_events += event.raw;
    }
    // Bytes without an event, which a faulty server may send without end, don't count as progress.
    bool const idle = now > last_event_at + k_stream_idle_timeout;
    if (failure == exchange_failure::none && idle && !upstream.is_whole())
      failure = exchange_failure::timed_out;
    if (splitter.is_overlong()) failure = exchange_failure::answer_too_large;
    if (failure != exchange_failure::none) {
      // Only complete events were forwarded, so another server can resume after the last one.
      note_failure(state, upstream, failure);
      co_return false;
    }
    if (whole_events.empty()) continue;
    if (!co_await state.client->send(std::move(whole_events))) {
      note_caller_left(state, upstream);
      co_return false;
    }
  }
  if (!splitter.is_between_events()) {
    note_failure(state, upstream, exchange_failure::partial_event);
    co_return false;
  }
  clear_suspicion(state, upstream);
  measure_answer(state, upstream);
  dependencies_.selector.note_answer(upstream.server().id);
  upstream.finish();
  ++counters_.answered;
  log_outcome(state, 200, call_failure::none, "Streamed.");
  co_await state.client->end();
  co_return true;
}

void forwarder::note_truncated(request_state& state) {
  call_failure const reason = failure_reason(state);
  if (reason == call_failure::caller_left) {
    ++counters_.callers_left;
  } else {
    ++counters_.truncated_streams;
  }
  // Without an end of its body, the client sees that the answer is truncated.
  log_outcome(state, 200, reason, "Stream truncated.");
}

}  // namespace frostline::calls
