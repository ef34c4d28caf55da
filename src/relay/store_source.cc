#include "relay/store_source.h"

#include <algorithm>
#include <utility>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
/// Longest pause after an answered probe. With jitter two to three calls a second for each node
/// that follows the store; a lost answer is made up for within k_max_silence.
constexpr milliseconds k_probe_interval{500};
constexpr milliseconds k_probe_timeout{300};
constexpr milliseconds k_retry_backoff{100};
/// How long a change that a peer has sent may take to arrive by this node's own watch. Longer than
/// the pause between two watches.
constexpr milliseconds k_expected_change_timeout{700};

/// Routing and admission depend on the configuration and the servers, so these use prompt watches.
constexpr milliseconds watch_wait_of(topic topic_id) {
  bool const prompt = topic_id == topic::CONFIGURATION || topic_id == topic::SERVERS;
  return prompt ? kv::k_prompt_watch_wait : kv::k_watch_wait;
}

}  // namespace

store_source::store_source(asio::io_context& context, kv::record_store& store,
                           topic_prefixes prefixes, source_callbacks callbacks)
    : context_(context),
      store_(store),
      prefixes_(std::move(prefixes)),
      callbacks_(std::move(callbacks)),
      follow_started_(context) {}

void store_source::follow(topic topic_id, bool wanted) {
  std::shared_ptr<kv::prefix_watcher>& prefix_watcher = slot(topic_id);
  if (wanted == (prefix_watcher != nullptr)) return;
  if (!wanted) {
    prefix_watcher->stop();
    prefix_watcher.reset();
    return;
  }
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this, topic_id](kv::range_answer const& all) {
    callbacks_.snapshot(topic_id, all);
  };
  callbacks.event = [this, topic_id](kv::watch_event const& event) {
    callbacks_.event(topic_id, event);
  };
  callbacks.complete_to = [this, topic_id](kv::revision at) {
    callbacks_.complete_to(topic_id, at);
  };
  callbacks.watch_silent = [this, topic_id] { note_watch_timeout(topic_id); };
  kv::prefix_watcher_options const options{pauses_[index_of(topic_id)], watch_wait_of(topic_id)};
  prefix_watcher = std::make_shared<kv::prefix_watcher>(
      context_, store_, prefixes_[index_of(topic_id)], std::move(callbacks), options);
  prefix_watcher->start();
  follow_started_.notify_all();
}

bool store_source::follows_any() const {
  return std::any_of(watchers_.begin(), watchers_.end(),
                     [](auto const& watcher) { return watcher != nullptr; });
}

void store_source::set_pause(topic topic_id, milliseconds pause) {
  pauses_[index_of(topic_id)] = pause;
  if (slot(topic_id)) slot(topic_id)->set_pause(pause);
}

bool store_source::is_current(topic topic_id, time_point now) const {
  bool const recent = confirmed_at_ != time_point::min() && now <= confirmed_at_ + k_max_silence;
  return recent && slot(topic_id) && slot(topic_id)->is_current();
}

std::optional<milliseconds> store_source::watch_age(topic topic_id, time_point now) const {
  if (!slot(topic_id) || slot(topic_id)->answered_at() == time_point::min()) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - slot(topic_id)->answered_at());
}

void store_source::note_watch_timeout(topic topic_id) {
  // In an outage of the store all watches fail and are restarted when it recovers.
  if (silent_) return;
  log_line(log_level::warning, k_part, "Watch got no answer; restarting the other watches.",
           {{"topic", rpc::EnumNameRecordTopic(topic_id)}});
  for (topic const other : k_topics) {
    if (other != topic_id && slot(other)) slot(other)->resynchronize();
  }
  callbacks_.watch_silent();
}

void store_source::expect(topic topic_id, kv::revision change) {
  if (!slot(topic_id) || slot(topic_id)->at() >= change) return;
  kv::revision& expected = expected_[index_of(topic_id)];
  bool const waiting = expected != 0;
  expected = std::max(expected, change);
  if (!waiting) spawn(context_, check_expected(topic_id));
}

awaitable<void> store_source::check_expected(topic topic_id) {
  co_await wait_for(k_expected_change_timeout);
  kv::revision const expected = std::exchange(expected_[index_of(topic_id)], 0);
  if (!slot(topic_id) || slot(topic_id)->at() >= expected || silent_) co_return;
  log_line(log_level::warning, k_part,
           "Watch missed a change that peers know; reading the topic again.",
           {{"topic", rpc::EnumNameRecordTopic(topic_id)},
            {"at", slot(topic_id)->at()},
            {"expected", expected}});
  slot(topic_id)->resynchronize();
}

void store_source::resynchronize(std::string_view cause) {
  if (!follows_any()) return;
  log_line(log_level::warning, k_part, "Reading all followed records again.", {{"cause", cause}});
  for (auto const& watcher : watchers_) {
    if (watcher) watcher->resynchronize();
  }
}

awaitable<void> store_source::probe_loop() {
  while (true) {
    if (!follows_any()) {
      co_await follow_started_.wait();
      continue;
    }
    time_point const sent_at = boot_clock::now();
    auto const answer = co_await store_.probe(k_probe_timeout);
    note_probe(static_cast<bool>(answer), sent_at);
    co_await wait_for(with_jitter(answer ? k_probe_interval : k_retry_backoff));
  }
}

void store_source::note_probe(bool answered, time_point sent_at) {
  bool const was_silent = silent_;
  if (answered) {
    confirmed_at_ = sent_at;
    silent_ = false;
  } else if (boot_clock::now() > confirmed_at_ + k_max_silence) {
    silent_ = true;
  }
  if (answered) callbacks_.confirmed();
  if (silent_ == was_silent) return;
  log_line(log_level::warning, k_part,
           silent_ ? "Record store does not answer." : "Record store answers again.");
  // A watch that started before the outage may be dead without an error.
  callbacks_.reachability_changed();
  if (!silent_) resynchronize("the store was unreachable");
}

}  // namespace frostline::relay
