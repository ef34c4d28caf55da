/// @file This node's views of all topics and the listeners for their changes. Performs no I/O.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "kv/prefix_watcher.h"
#include "relay/record_view.h"
#include "relay/topics.h"

namespace frostline::relay {

class topic_views {
 public:
  /// @param servers_traits if null, every selection includes all servers' records.
  /// @param prefixes what the keys of each topic's records begin with. Other records, which a peer
  /// of another version may send, are ignored: readers of a topic rely on its prefix.
  explicit topic_views(trait_reader servers_traits, topic_prefixes prefixes = {});

  /// Sets the listener of a topic. It receives a snapshot at first and whenever the selection
  /// changes, and otherwise each change once as an event.
  void listen(topic topic_id, kv::prefix_watcher_callbacks listener) {
    listeners_[index_of(topic_id)] = std::move(listener);
  }
  /// Called after each change that polling nodes should receive.
  void on_change(std::function<void()> listener) { changed_ = std::move(listener); }

  /// @param selection the records that the view holds from now on.
  void take_snapshot(topic topic_id, kv::range_answer const& received,
                     record_selection const& selection = {});
  void take_event(topic topic_id, kv::watch_event const& event);
  /// Reduces the view to `selection` if its present selection covers that.
  void narrow(topic topic_id, record_selection const& selection);
  /// Marks a topic as complete up to a revision.
  void advance(topic topic_id, kv::revision at) { views_[index_of(topic_id)].advance(at); }
  /// Records that a topic was complete at `when`.
  void confirm(topic topic_id, time_point when);

  record_view const& view(topic topic_id) const { return views_[index_of(topic_id)]; }
  time_point confirmed_at(topic topic_id) const { return confirmed_at_[index_of(topic_id)]; }
  /// Records that the store became reachable again at `when`, for this node or a peer.
  void note_store_recovery(time_point when) {
    store_recovered_at_ = std::max(store_recovered_at_, when);
  }
  time_point store_recovered_at() const { return store_recovered_at_; }
  bool all_loaded() const;
  /// Number of events and snapshots delivered, over all topics.
  std::uint64_t changes() const { return changes_; }

 private:
  bool belongs_to(topic topic_id, std::string const& key) const {
    return key.starts_with(prefixes_[index_of(topic_id)]);
  }
  void notify_events(topic topic_id, std::vector<kv::watch_event> const& events);
  void notify_dropped(topic topic_id, std::vector<std::string> const& keys);

  topic_prefixes prefixes_;
  std::array<record_view, k_topics.size()> views_;
  std::array<kv::prefix_watcher_callbacks, k_topics.size()> listeners_;
  std::array<time_point, k_topics.size()> confirmed_at_;
  time_point store_recovered_at_ = time_point::min();
  std::function<void()> changed_;
  std::uint64_t changes_ = 0;
};

}  // namespace frostline::relay
