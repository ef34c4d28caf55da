/// @file Topics that this node follows at the record store itself, and how long ago the store last
/// answered it.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/follower.h"
#include "relay/topics.h"

namespace frostline::relay {

/// What the store tells; `snapshot` holds all records of a topic.
struct source_callbacks {
  std::function<void(topic, kv::range_answer const&)> snapshot;
  std::function<void(topic, kv::watch_event const&)> event;
  std::function<void(topic, kv::revision)> complete_to;
  /// The store has answered a sign of life.
  std::function<void()> confirmed;
  /// The store answers again, or does not any more.
  std::function<void()> contact_changed;
  /// A watch got no answer although the store answers; others may be as dead.
  std::function<void()> watch_silent;
};

class store_source {
 public:
  /// A node that the store has not answered for that long may miss changes. Three tries of the
  /// contact loop; with a relay's change-over (a second) short of the two seconds that the
  /// strictest deployment allows a change.
  static constexpr milliseconds k_longest_silence{900};

  store_source(asio::io_context& context, kv::record_store& store, topic_prefixes prefixes,
               source_callbacks callbacks);

  void start() { spawn(context_, contact_loop()); }
  /// Begins or ends to follow a topic.
  void follow(topic one, bool wanted);
  bool follows(topic one) const { return slot(one) != nullptr; }
  bool follows_any() const;
  /// Changes of a topic within this time are read together.
  void set_pause(topic one, milliseconds pause);
  /// Whether nothing of the topic is missing, as far as the store's last answer goes.
  bool is_current(topic one, time_point now) const;
  /// How long ago the store last answered the watch of a topic; nothing if it is not followed, or
  /// was never answered.
  std::optional<milliseconds> watch_age(topic one, time_point now) const;
  /// When the store last answered: what was asked then. time_point::min(): never.
  time_point confirmed_at() const { return confirmed_at_; }
  /// Whether the store has not answered for k_longest_silence.
  bool is_silent() const { return silent_; }
  /// Others know of a change of a topic up to this revision. If this node's own watch has not told
  /// it soon, the watch's answer was lost, and the topic is read anew.
  void expect(topic one, kv::revision change);
  /// Reads all followed topics anew: a watch may have died unseen.
  void resynchronize(std::string_view cause);

 private:
  std::shared_ptr<kv::prefix_watcher>& slot(topic one) { return followers_[index_of(one)]; }
  std::shared_ptr<kv::prefix_watcher> const& slot(topic one) const {
    return followers_[index_of(one)];
  }
  /// Asks the store for a sign of life while a topic is followed.
  awaitable<void> contact_loop();
  void note_contact(bool answered, time_point asked);
  void note_silent_watch(topic one);
  awaitable<void> check_expected(topic one);

  asio::io_context& context_;
  kv::record_store& store_;
  topic_prefixes prefixes_;
  source_callbacks callbacks_;
  std::array<std::shared_ptr<kv::prefix_watcher>, k_topics.size()> followers_;
  std::array<milliseconds, k_topics.size()> pauses_{};
  /// The newest change of a topic that others know of, while it is waited for; 0: none.
  std::array<kv::revision, k_topics.size()> expected_{};
  async_condition wanted_;
  time_point confirmed_at_ = time_point::min();
  bool silent_ = false;
};

}  // namespace frostline::relay
