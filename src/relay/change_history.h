/// @file The newest changes below a prefix of the record store, as a node that watches it saw them.
/// Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "kv/types.h"

namespace frostline::relay {

class change_history {
 public:
  /// @param most_events kept; older ones are forgotten.
  explicit change_history(std::size_t most_events = 512) : most_events_(most_events) {}

  /// A snapshot replaced what was known: changes up to its revision are not told one by one.
  void reset(kv::revision at);
  void add(kv::watch_event const& event);
  /// Nothing else has changed up to this revision.
  void advance(kv::revision at);

  /// Revision up to which the history is complete; 0: nothing is known.
  kv::revision at() const { return at_; }
  /// Changes after this revision, the oldest first; nothing if some of them are forgotten.
  std::optional<std::vector<kv::watch_event>> since(kv::revision after) const;

 private:
  std::size_t most_events_;
  std::deque<kv::watch_event> events_;
  /// All changes after this revision are in `events_`.
  kv::revision complete_after_ = 0;
  kv::revision at_ = 0;
};

}  // namespace frostline::relay
