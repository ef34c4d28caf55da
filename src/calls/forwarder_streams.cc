/// @file The forwarder's part for answers that come in events.

#include "calls/forwarder.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// Silence of an event stream after which it counts as dead.
constexpr milliseconds k_stream_silence{1800};

}  // namespace

awaitable<void> forwarder::run_stream(journey& one) {
  event_splitter splitter(dependencies_.names.versions);
  bool begun = false;
  while (auto with = co_await next_exchange(one)) {
    if (!begun && !has_events(with->head())) {
      http::response whole;
      if (!co_await read_whole(one, *with, whole)) break;
      one.from->on_gone(nullptr);
      strip_hop_by_hop(whole);
      whole.erase(http::field::content_length);
      co_await one.from->answer(std::move(whole));
      co_return;
    }
    if (begun && !has_events(with->head())) {
      dependencies_.selector.note_answer(with->server().id);
      break;
    }
    bool const over = co_await pump(one, *with, splitter, begun);
    one.from->on_gone(nullptr);
    if (over) co_return;
    splitter.reset();
  }
  // Once the answer has begun, only the missing end tells the caller that it is cut.
  if (!begun) co_await answer_give_up(one);
}

awaitable<bool> forwarder::pump(journey& one, exchange& with, event_splitter& splitter,
                                bool& begun) {
  if (!begun) {
    http::response head;
    head.base() = with.head().base();
    strip_hop_by_hop(head);
    head.erase(http::field::content_length);
    begun = true;
    if (!co_await one.from->begin(std::move(head))) {
      note_abandoned(one, with);
      co_return true;
    }
  }
  std::string piece;
  while (true) {
    if (with.is_whole() && with.head().body().empty()) break;
    time_point const silent = boot_clock::now() + k_stream_silence;
    exchange_failure const failure = co_await with.read_piece(piece, silent);
    if (failure != exchange_failure::none) {
      note_failure(one, with, failure);
      // Only whole events were passed on, so the next server may go on after the last of them.
      co_return one.from->is_gone() || !one.by->resumable;
    }
    std::string whole_events;
    for (stream_event const& event : splitter.feed(piece)) {
      if (event.id) one.message.set(dependencies_.names.last_event_id, std::to_string(*event.id));
      whole_events += event.raw;
    }
    if (whole_events.empty()) continue;
    if (!co_await one.from->send(std::move(whole_events))) {
      note_abandoned(one, with);
      co_return true;
    }
  }
  if (!splitter.is_between_events()) co_return !one.by->resumable;
  clear_suspicion(one, with);
  dependencies_.selector.note_answer(with.server().id);
  with.finish();
  ++counters_.answered;
  log_outcome(one, 200, "Streamed.");
  co_await one.from->end();
  co_return true;
}

}  // namespace frostline::calls
