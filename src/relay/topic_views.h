/// @file This node's views of all topics, with whom they tell their changes. Pure.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "kv/follower.h"
#include "relay/record_view.h"
#include "relay/topics.h"

namespace frostline::relay {

class topic_views {
 public:
  /// @param servers_traits null: all servers' records concern everybody.
  explicit topic_views(trait_reader servers_traits);

  /// The first snapshot of a topic is told whole, and one of another part of its records;
  /// everything else as events, nothing of it twice.
  void listen(topic one, kv::prefix_watcher_callbacks listener) {
    listeners_[index_of(one)] = std::move(listener);
  }
  /// Runs after each change that other nodes should hear of.
  void on_change(std::function<void()> listener) { changed_ = std::move(listener); }

  /// @param held what `all` was selected by.
  void take_snapshot(topic one, kv::range_answer const& all, record_selection const& held = {});
  void take_event(topic one, kv::watch_event const& event);
  /// Drops what `held` does not include, if the view holds all that it includes.
  void narrow(topic one, record_selection const& held);
  /// Nothing else of the topic has changed up to this revision.
  void advance(topic one, kv::revision at) { views_[index_of(one)].advance(at); }
  /// At this time the topic was complete.
  void confirm(topic one, time_point when);

  record_view const& view(topic one) const { return views_[index_of(one)]; }
  time_point confirmed_at(topic one) const { return confirmed_at_[index_of(one)]; }
  /// The store answered again at this time after a silence, to this node or another one.
  void note_store_back(time_point when) { store_back_at_ = std::max(store_back_at_, when); }
  time_point store_back_at() const { return store_back_at_; }
  bool all_loaded() const;
  /// Changes and first snapshots that were told, of all topics.
  std::uint64_t changes() const { return changes_; }

 private:
  void tell(topic one, std::vector<kv::watch_event> const& news);
  void tell_dropped(topic one, std::vector<std::string> const& keys);

  std::array<record_view, k_topics.size()> views_;
  std::array<kv::prefix_watcher_callbacks, k_topics.size()> listeners_;
  std::array<time_point, k_topics.size()> confirmed_at_;
  time_point store_back_at_ = time_point::min();
  std::function<void()> changed_;
  std::uint64_t changes_ = 0;
};

}  // namespace frostline::relay
