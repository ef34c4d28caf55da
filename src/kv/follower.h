/// @file Keeps a view of the records below a prefix in step with the store: lists once, then
/// watches; lists again when history is lost or the watch may have died unseen.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kv/record_store.h"

namespace frostline::kv {

/// What a follower tells. `snapshot` replaces everything known below the prefix.
struct follower_callbacks {
  std::function<void(range_answer const&)> snapshot;
  std::function<void(watch_event const&)> event;
  /// After each answer: all changes up to this revision have been told. Not needed.
  std::function<void(revision)> complete_to = nullptr;
};

struct follower_options {
  /// Time between an answer and the next watch; changes meanwhile arrive together.
  milliseconds pause{0};
  /// Longest time one watch waits at the store.
  milliseconds watch_wait{29'000};
};

/// Held by a shared pointer: a watch that waits keeps it alive.
class follower : public std::enable_shared_from_this<follower> {
 public:
  follower(asio::io_context& context, record_store& store, std::string prefix,
           follower_callbacks callbacks, follower_options options);

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
  /// When the call was sent that the store answered last; time_point::min(): none was. Changes that
  /// came later may not be known here.
  time_point answered_at() const { return answered_at_; }

 private:
  awaitable<void> follow_loop(std::shared_ptr<follower> self, std::uint64_t round);
  awaitable<bool> list_once(std::uint64_t round);
  awaitable<bool> watch_once(std::uint64_t round);

  asio::io_context& context_;
  record_store& store_;
  std::string prefix_;
  follower_callbacks callbacks_;
  follower_options options_;
  /// Grows with each resynchronization; a loop of an older round ends without a word.
  std::uint64_t round_ = 0;
  revision at_ = 0;
  time_point answered_at_ = time_point::min();
  bool loaded_ = false;
  bool current_ = false;
};

}  // namespace frostline::kv
