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
  /// How long after a look a next life is taken for the sign that the server had ended before it.
  /// The record of a life that had begun by then comes within a second, also after a suspension.
  /// Shorter than a server takes to start again on the users' machines (2.6 s), so that one that
  /// ends after the look is not held against the run.
  static constexpr milliseconds k_memory{1'500};
  /// Runs that are kept; beyond that the oldest goes. Some hundred connections of a node may break
  /// at once.
  static constexpr std::size_t k_most = 512;

  void add(directory::server const& server, crash run, time_point now);
  /// Takes the runs whose servers have been replaced since.
  std::vector<crash> extract_replaced(
      std::function<bool(directory::server const&)> const& is_superseded);
  /// Forgets servers that are stopped on purpose.
  void drop_planned(std::function<bool(directory::server const&)> const& is_leaving);
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
