#include "relay/store_source.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
/// With its jitter two to three calls a second, at the price of a quarter of a call, for each node
/// that follows the store; one lost answer is made good within k_longest_silence.
constexpr milliseconds k_contact_interval{500};
constexpr milliseconds k_contact_timeout{300};
constexpr milliseconds k_retry_pause{100};
/// Relays hear of a change within some milliseconds of each other; a prefix_watcher's longest pause
/// between two watches is 0.4 s.
constexpr milliseconds k_expected_time{700};

/// What callers and engines may be sent, and what is refused, follows from these.
constexpr milliseconds watch_wait_of(topic one) {
  bool const prompt = one == topic::CONFIGURATION || one == topic::SERVERS;
  return prompt ? kv::k_prompt_watch_wait : kv::k_watch_wait;
}

}  // namespace

store_source::store_source(asio::io_context& context, kv::record_store& store,
                           topic_prefixes prefixes, source_callbacks callbacks)
    : context_(context),
      store_(store),
      prefixes_(std::move(prefixes)),
      callbacks_(std::move(callbacks)),
      wanted_(context) {}

void store_source::follow(topic one, bool wanted) {
  std::shared_ptr<kv::prefix_watcher>& place = slot(one);
  if (wanted == (place != nullptr)) return;
  if (!wanted) {
    place->stop();
    place.reset();
    return;
  }
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this, one](kv::range_answer const& all) { callbacks_.snapshot(one, all); };
  callbacks.event = [this, one](kv::watch_event const& event) { callbacks_.event(one, event); };
  callbacks.complete_to = [this, one](kv::revision at) { callbacks_.complete_to(one, at); };
  callbacks.watch_silent = [this, one] { note_silent_watch(one); };
  kv::prefix_watcher_options const options{pauses_[index_of(one)], watch_wait_of(one)};
  place = std::make_shared<kv::prefix_watcher>(context_, store_, prefixes_[index_of(one)],
                                               std::move(callbacks), options);
  place->start();
  wanted_.notify_all();
}

bool store_source::follows_any() const {
  return std::any_of(followers_.begin(), followers_.end(),
                     [](auto const& one) { return one != nullptr; });
}

void store_source::set_pause(topic one, milliseconds pause) {
  pauses_[index_of(one)] = pause;
  if (slot(one)) slot(one)->set_pause(pause);
}

bool store_source::is_current(topic one, time_point now) const {
  bool const recent =
      confirmed_at_ != time_point::min() && now <= confirmed_at_ + k_longest_silence;
  return recent && slot(one) && slot(one)->is_current();
}

std::optional<milliseconds> store_source::watch_age(topic one, time_point now) const {
  if (!slot(one) || slot(one)->answered_at() == time_point::min()) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - slot(one)->answered_at());
}

void store_source::note_silent_watch(topic one) {
  // In an outage all watches fail; they begin anew when it is over.
  if (silent_) return;
  log_line(log_level::warning, k_part, "Watch got no answer; beginning the others anew.",
           {{"topic", rpc::EnumNameRecordTopic(one)}});
  for (topic const other : k_topics) {
    if (other != one && slot(other)) slot(other)->resynchronize();
  }
  callbacks_.watch_silent();
}

void store_source::expect(topic one, kv::revision change) {
  if (!slot(one) || slot(one)->at() >= change) return;
  kv::revision& expected = expected_[index_of(one)];
  bool const waiting = expected != 0;
  expected = std::max(expected, change);
  if (!waiting) spawn(context_, check_expected(one));
}

awaitable<void> store_source::check_expected(topic one) {
  co_await wait_for(k_expected_time);
  kv::revision const expected = std::exchange(expected_[index_of(one)], 0);
  if (!slot(one) || slot(one)->at() >= expected || silent_) co_return;
  log_line(
      log_level::warning, k_part, "Watch has not told what others know; reading again.",
      {{"topic", rpc::EnumNameRecordTopic(one)}, {"at", slot(one)->at()}, {"expected", expected}});
  slot(one)->resynchronize();
}

void store_source::resynchronize(std::string_view cause) {
  if (!follows_any()) return;
  log_line(log_level::warning, k_part, "Reading all followed records again.", {{"cause", cause}});
  for (auto const& one : followers_) {
    if (one) one->resynchronize();
  }
}

awaitable<void> store_source::contact_loop() {
  while (true) {
    if (!follows_any()) {
      co_await wanted_.wait();
      continue;
    }
    time_point const asked = boot_clock::now();
    auto const answer = co_await store_.probe(k_contact_timeout);
    note_contact(static_cast<bool>(answer), asked);
    co_await wait_for(with_jitter(answer ? k_contact_interval : k_retry_pause));
  }
}

void store_source::note_contact(bool answered, time_point asked) {
  bool const was_silent = silent_;
  if (answered) {
    confirmed_at_ = asked;
    silent_ = false;
  } else if (boot_clock::now() > confirmed_at_ + k_longest_silence) {
    silent_ = true;
  }
  if (answered) callbacks_.confirmed();
  if (silent_ == was_silent) return;
  log_line(log_level::warning, k_part,
           silent_ ? "Record store does not answer." : "Record store answers again.");
  // A watch that began before the silence may be dead without showing it.
  callbacks_.contact_changed();
  if (!silent_) resynchronize("the store was silent");
}

}  // namespace frostline::relay
