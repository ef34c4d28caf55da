/// @file Runs without a complete answer at servers that a probe did not find crashed. The probe may
/// have reached the same process or a restarted one. If the directory soon lists a restart, the
/// server counts as crashed. No I/O; reads no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "directory/server_directory.h"
#include "quarantine/suspect_table.h"

namespace frostline::quarantine {

class undecided_runs {
 public:
  /// How long after a run was added a restart in the directory still counts as a crash under this
  /// run. Longer than the record of a restart takes to arrive (a second), and shorter than a server
  /// takes to restart (2.6 s on the users' machines), so that a crash after the probe is not
  /// attributed to the run.
  static constexpr milliseconds k_retention{1'500};
  /// Limit of runs; beyond it the oldest is dropped. Some hundred connections of a node may break
  /// at once.
  static constexpr std::size_t k_max_runs = 512;

  void add(directory::server const& server, crash run, time_point now);
  /// Removes and returns the runs whose servers have been restarted.
  std::vector<crash> extract_replaced(
      std::function<bool(directory::server const&)> const& is_superseded);
  /// Drops runs at servers that are being stopped on purpose.
  void drop_leaving(std::function<bool(directory::server const&)> const& is_leaving);
  void expire(time_point now);
  bool empty() const { return runs_.empty(); }

 private:
  struct undecided_run {
    directory::server server;
    crash run;
    time_point added_at{};
  };

  std::deque<undecided_run> runs_;
};

}  // namespace frostline::quarantine
