/// @file Keeps a view of the records below a prefix in step with the store: lists once, then
/// watches; lists again when history is lost or the watch may have died unseen.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kv/record_store.h"

namespace frostline::kv {

/// What a prefix_watcher tells. `snapshot` replaces everything known below the prefix.
struct prefix_watcher_callbacks {
  std::function<void(range_answer const&)> snapshot;
  std::function<void(watch_event const&)> event;
  /// After each answer: all changes up to this revision have been told. Not needed.
  std::function<void(revision)> complete_to = nullptr;
  /// A watch got no answer in time; it is begun anew. Not needed.
  std::function<void()> watch_silent = nullptr;
  /// Records that are not followed any more, by key; whether they still stand is not known. Only
  /// told by views that hold a part of their records. Not needed.
  std::function<void(std::vector<std::string> const&)> dropped = nullptr;
};

/// For records of which a change must be known within two to three seconds, counted from its
/// acknowledgement or from the loss of a connection: with 0.8 s for the answer a dead watch is
/// found out after 2 s. It costs 0.8 calls to the store a second for each watch.
inline constexpr milliseconds k_prompt_watch_wait{1200};
/// For other records. A tenth of the calls; dead connections, unlike lost answers, are found out by
/// the kernel's probes in 3 s.
inline constexpr milliseconds k_watch_wait{10'000};

struct prefix_watcher_options {
  /// Time between an answer and the next watch; changes meanwhile arrive together.
  milliseconds pause{0};
  /// Longest time one watch waits at the store. A watch whose connection has gone silent, or whose
  /// answer was lost, is found out after this and the margin of the store's client.
  milliseconds watch_wait = k_watch_wait;
};

/// Held by a shared pointer: a watch that waits keeps it alive.
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
 public:
  prefix_watcher(asio::io_context& context, record_store& store, std::string prefix,
                 prefix_watcher_callbacks callbacks, prefix_watcher_options options);

  void start();
  /// Nothing is told any more; a watch that waits ends by itself.
  void stop() { ++round_; }
  /// Gives the current watch up and lists anew: after silence of the store or of this process.
  void resynchronize();
  /// Time between an answer and the next watch, from the next answer on.
  void set_pause(milliseconds pause) { options_.pause = pause; }
  /// Whether a snapshot has ever arrived.
  bool is_loaded() const { return loaded_; }
  /// Whether the store has answered since the last start or resynchronization, and the last answer
  /// was not an error.
  bool is_current() const { return current_; }
  /// Up to which revision all changes have been told.
  revision at() const { return at_; }
  /// When the call was sent that the store answered last; time_point::min(): none was. Changes that
  /// came later may not be known here.
  time_point answered_at() const { return answered_at_; }

 private:
  awaitable<void> follow_loop(std::shared_ptr<prefix_watcher> self, std::uint64_t round);
  awaitable<bool> list_once(std::uint64_t round);
  awaitable<bool> watch_once(std::uint64_t round);

  asio::io_context& context_;
  record_store& store_;
  std::string prefix_;
  prefix_watcher_callbacks callbacks_;
  prefix_watcher_options options_;
  /// Grows with each resynchronization; a loop of an older round ends without a word.
  std::uint64_t round_ = 0;
  revision at_ = 0;
  time_point answered_at_ = time_point::min();
  bool loaded_ = false;
  bool current_ = false;
};

}  // namespace frostline::kv
