/// @file Follows topics directly at the record store and tracks whether the store is reachable.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/prefix_watcher.h"
#include "relay/topics.h"

namespace frostline::relay {

/// Receives updates from the store; `snapshot` lists all records of a topic.
struct source_callbacks {
  std::function<void(topic, kv::range_answer const&)> snapshot;
  std::function<void(topic, kv::watch_event const&)> event;
  std::function<void(topic, kv::revision)> complete_to;
  /// The store answered a probe.
  std::function<void()> confirmed;
  /// The store became reachable or unreachable.
  std::function<void()> reachability_changed;
  /// A watch got no answer although the store is reachable; other watches may be dead as well.
  std::function<void()> watch_silent;
};

class store_source {
 public:
  /// After this long without an answer to a probe, the store counts as unreachable and this node
  /// may have missed changes. Covers three probes, and with the change of a relay (a second) stays
  /// below the two seconds that the strictest deployment allows a change.
  static constexpr milliseconds k_max_silence{900};

  store_source(asio::io_context& context, kv::record_store& store, topic_prefixes prefixes,
               source_callbacks callbacks);

  void start() { spawn(context_, probe_loop()); }
  /// Starts or stops following a topic.
  void follow(topic topic_id, bool wanted);
  bool follows(topic topic_id) const { return slot(topic_id) != nullptr; }
  bool follows_any() const;
  /// Sets the pause between watches of a topic; changes during it are read together.
  void set_pause(topic topic_id, milliseconds pause);
  /// Returns true if the topic is complete as of a recent answer of the store.
  bool is_current(topic topic_id, time_point now) const;
  /// Time since the store last answered the watch of a topic; nothing if the topic is not followed
  /// or its watch was never answered.
  std::optional<milliseconds> watch_age(topic topic_id, time_point now) const;
  /// Send time of the last answered probe; time_point::min() if there was none.
  time_point confirmed_at() const { return confirmed_at_; }
  /// Returns true if a probe failed and none was answered for k_max_silence.
  bool is_silent() const { return silent_; }
  /// Records that a peer sent a change of a topic at revision `change`. If this node's own watch
  /// does not deliver it in time, the watch is assumed dead and the topic is read again.
  void expect(topic topic_id, kv::revision change);
  /// Reads all followed topics again, in case a watch has died without an error.
  void resynchronize(std::string_view cause);

 private:
  std::shared_ptr<kv::prefix_watcher>& slot(topic topic_id) {
    return watchers_[index_of(topic_id)];
  }
  std::shared_ptr<kv::prefix_watcher> const& slot(topic topic_id) const {
    return watchers_[index_of(topic_id)];
  }
  /// Probes the store while any topic is followed.
  awaitable<void> probe_loop();
  void note_probe(bool answered, time_point sent_at);
  void note_watch_timeout(topic topic_id);
  awaitable<void> check_expected(topic topic_id);

  asio::io_context& context_;
  kv::record_store& store_;
  topic_prefixes prefixes_;
  source_callbacks callbacks_;
  std::array<std::shared_ptr<kv::prefix_watcher>, k_topics.size()> watchers_;
  std::array<milliseconds, k_topics.size()> pauses_{};
  /// Newest revision passed to `expect` for each topic whose check is pending; 0 if none is.
  std::array<kv::revision, k_topics.size()> expected_{};
  async_condition follow_started_;
  time_point confirmed_at_ = time_point::min();
  bool silent_ = false;
};

}  // namespace frostline::relay
