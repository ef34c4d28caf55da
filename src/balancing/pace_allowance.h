/// @file Limits how many slow servers a node sends in its poll replies, since a relay answers all
/// nodes of its zone. Performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace frostline::balancing {

/// Divides a number of entries per second evenly among the polling nodes. A node whose share does
/// not cover a list gets the list in some of its replies only.
class pace_allowance {
 public:
  /// Entries per second to all polling nodes together; about 4.4 KB/s of the 9 KB/s that a node's
  /// control traffic may take.
  static constexpr double k_entries_per_second = 100;
  /// Longest time between two lists to the same node while its share allows at least one entry in
  /// this time. Half of the time after which an entry expires.
  static constexpr seconds k_max_interval{2};

  /// Returns how many of `wanted` entries may be sent to `node` now, and counts them as sent.
  std::size_t take(std::string const& node, std::size_t wanted, time_point now);

 private:
  struct share {
    double entries = 0;
    time_point updated_at{};
  };

  void drop_silent_nodes(time_point now);

  std::map<std::string, share> shares_;
  time_point swept_at_{};
};

}  // namespace frostline::balancing
