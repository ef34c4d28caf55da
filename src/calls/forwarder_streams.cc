/// @file The forwarder's handling of event streams.

#include "calls/forwarder.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// An event stream that sends no data for this long counts as failed.
constexpr milliseconds k_stream_idle_timeout{1800};

}  // namespace

awaitable<void> forwarder::run_stream(request_state& state) {
  event_splitter splitter(dependencies_.names.versions);
  bool begun = false;
  while (auto upstream = co_await next_exchange(state)) {
    if (!begun && !has_events(upstream->head())) {
      http::response whole;
      if (!co_await read_whole(state, *upstream, whole)) break;
      strip_hop_by_hop(whole);
      whole.erase(http::field::content_length);
      co_await state.client->answer(std::move(whole));
      co_return;
    }
    if (begun && !has_events(upstream->head())) {
      dependencies_.selector.note_answer(upstream->server().id);
      break;
    }
    bool const finished = co_await forward_events(state, *upstream, splitter, begun);
    if (finished) co_return;
    splitter.reset();
  }
  // After the answer has begun, only a missing end shows the client that it is truncated.
  if (!begun) co_await answer_failure(state, failure_reason(state));
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
      co_return true;
    }
  }
  state.attempt_timeout = k_stream_idle_timeout;
  std::string piece;
  while (true) {
    if (upstream.is_whole() && upstream.head().body().empty()) break;
    time_point const idle_deadline = boot_clock::now() + k_stream_idle_timeout;
    exchange_failure const failure = co_await upstream.read_piece(piece, idle_deadline);
    if (failure != exchange_failure::none) {
      note_failure(state, upstream, failure);
      // Only complete events were forwarded, so the next server can resume after the last one.
      co_return state.client->is_disconnected() || !state.matched_route->resumable;
    }
    std::string whole_events;
    for (stream_event const& event : splitter.feed(piece)) {
      if (event.id) state.message.set(dependencies_.names.last_event_id, std::to_string(*event.id));
      whole_events += event.raw;
    }
    if (whole_events.empty()) continue;
    if (!co_await state.client->send(std::move(whole_events))) {
      note_caller_left(state, upstream);
      co_return true;
    }
  }
  if (!splitter.is_between_events()) co_return !state.matched_route->resumable;
  clear_suspicion(state, upstream);
  measure_answer(state, upstream);
  dependencies_.selector.note_answer(upstream.server().id);
  upstream.finish();
  ++counters_.answered;
  log_outcome(state, 200, call_failure::none, "Streamed.");
  co_await state.client->end();
  co_return true;
}

}  // namespace frostline::calls
