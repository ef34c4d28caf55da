/// @file Runs that ended without an answer at a server at whose address somebody listened
/// afterwards: that may have been its next life, which had not run them. Pure.
///
/// Which it was is learned from the directory: the record of the next life comes within seconds.
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
  /// How long after a run's end a next life is taken for the sign that its server ended under it. A
  /// server takes up to 4 s to start again on the users' machines, its record some 0.3 s to come.
  /// Longer would hold against a request that its server was restarted some time later.
  static constexpr milliseconds k_memory{5'000};
  /// Runs that are kept; beyond that the oldest goes. Some hundred connections of a node may break
  /// at once.
  static constexpr std::size_t k_most = 512;

  void add(directory::server const& server, crash run);
  /// Takes the runs whose servers have been replaced since.
  std::vector<crash> extract_replaced(
      std::function<bool(directory::server const&)> const& is_replaced);
  /// Forgets servers that are stopped on purpose.
  void drop_planned(std::function<bool(directory::server const&)> const& is_leaving);
  void expire(time_point now);
  bool empty() const { return runs_.empty(); }

 private:
  struct undecided_run {
    directory::server server;
    crash run;
  };

  std::deque<undecided_run> runs_;
};

}  // namespace frostline::quarantine
