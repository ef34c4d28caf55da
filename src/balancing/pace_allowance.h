/// @file Limits how many slow servers a node sends in its poll replies, since a relay answers all
/// nodes of its zone. Performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace frostline::balancing {

/// Divides a number of entries per second evenly among the polling nodes. A node whose share does
/// not cover a list gets a list in some of its replies only, and then the slowest servers.
class pace_allowance {
 public:
  /// Entries per second to all polling nodes together. At 44 bytes an entry this is 5.3 KB/s of the
  /// 9 KB/s that a node's control traffic may take.
  static constexpr double k_entries_per_second = 120;
  /// Entries that take as many bytes as a list itself.
  static constexpr std::size_t k_list_cost = 1;
  /// Time between two lists for which the number of entries is chosen. Half of the time after which
  /// an entry expires.
  static constexpr seconds k_list_interval{2};

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
