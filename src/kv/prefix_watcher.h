/// @file Keeps a view of the records below a prefix up to date: lists them once, then watches for
/// changes. Lists again if a watch fails or the store has compacted revisions that the watch needs.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kv/record_store.h"

namespace frostline::kv {

/// Callbacks of a prefix_watcher. `snapshot` receives all records below the prefix, which replace
/// those delivered before; `event` receives one change.
struct prefix_watcher_callbacks {
  std::function<void(range_answer const&)> snapshot;
  std::function<void(watch_event const&)> event;
  /// Called after each answer: all changes up to this revision have been delivered. Optional.
  std::function<void(revision)> complete_to = nullptr;
  /// Called when a watch got no answer in time; the watcher lists again. Optional.
  std::function<void()> watch_silent = nullptr;
  /// Called with the keys of records that are no longer watched and may or may not still exist.
  /// Only partial views call this. Optional.
  std::function<void(std::vector<std::string> const&)> dropped = nullptr;
};

/// prefix_watcher_options::watch_wait for records whose changes must arrive within three seconds
/// even if a connection is lost: with 0.8 s for the answer, a dead watch is detected after 2 s.
/// Costs 0.8 store calls a second for each watch.
inline constexpr milliseconds k_prompt_watch_wait{1200};
/// prefix_watcher_options::watch_wait for other records. TCP keepalive detects a dead connection
/// earlier, but not a lost answer.
inline constexpr milliseconds k_watch_wait{10'000};

struct prefix_watcher_options {
  /// Time between an answer with changes and the next watch; changes during the pause arrive
  /// together.
  milliseconds pause{0};
  /// Longest time that the store may hold one watch request open without changes. A dead connection
  /// or a lost answer is detected after this time plus the time that the store client allows for
  /// the answer to arrive.
  milliseconds watch_wait = k_watch_wait;
};

/// Owned by shared pointers: a pending watch keeps the object alive.
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
 public:
  prefix_watcher(asio::io_context& context, record_store& store, std::string prefix,
                 prefix_watcher_callbacks callbacks, prefix_watcher_options options);

  void start();
  /// Stops all callbacks. A pending watch is not canceled; its answer is ignored.
  void stop() { ++generation_; }
  /// Abandons the current watch and lists again, for example after the store was unreachable or
  /// this process was suspended.
  void resynchronize();
  /// Changes prefix_watcher_options::pause; applies from the next answer with changes on.
  void set_pause(milliseconds pause) { options_.pause = pause; }
  /// Returns true once a snapshot has arrived.
  bool is_loaded() const { return loaded_; }
  /// Returns true if the last list or watch succeeded; false after `start` and `resynchronize`
  /// until the list succeeds.
  bool is_current() const { return current_; }
  /// Revision up to which all changes have been delivered.
  revision at() const { return revision_; }
  /// When the store last answered: the send time of a list, or the arrival time of the answer to a
  /// successful watch; time_point::min() before the first answer.
  time_point answered_at() const { return answered_at_; }

 private:
  awaitable<void> run(std::shared_ptr<prefix_watcher> self, std::uint64_t generation);
  /// @param logs_failure false if the previous list failed as well.
  awaitable<bool> list_once(std::uint64_t generation, bool logs_failure);
  awaitable<bool> watch_once(std::uint64_t generation);

  asio::io_context& context_;
  record_store& store_;
  std::string prefix_;
  prefix_watcher_callbacks callbacks_;
  prefix_watcher_options options_;
  /// Incremented by start, stop and resynchronize; the loops of older generations then return.
  std::uint64_t generation_ = 0;
  revision revision_ = 0;
  time_point answered_at_ = time_point::min();
  bool loaded_ = false;
  bool current_ = false;
};

}  // namespace frostline::kv
