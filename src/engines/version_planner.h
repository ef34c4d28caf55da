/// @file Decides which engine loads which version of the weights next. Pure.
///
/// A job may use the version before the newest, so engines take turns: at each new version those
/// that hold the one before it go on serving while the others load. Each engine then loads every
/// second version and no version stops all of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engines/engine_board.h"

namespace frostline::engines {

struct planner_options {
  /// Engines that may always load at once.
  std::uint32_t parallel_loads = 2;
  /// Part of a pool's engines that may load at once without slowing each other.
  double parallel_part = 0.2;
  /// An order that shows no effect for that long is looked into.
  milliseconds order_patience{2500};
};

struct planned_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
};

/// What is wanted of one model.
struct model_need {
  /// Newest version that was named.
  std::uint64_t newest = 0;
  /// How many versions behind the newest a job may use: learned from the jobs.
  std::uint64_t slack = 1;
  /// Size of its jobs, in any unit that all models share; 0: not known.
  double demand = 0;
  /// Samples of its latest job; 0: not known.
  std::size_t samples = 0;
};

using model_needs = std::map<std::string, model_need>;

/// @return orders to give now, the most pressing first: models that no engine can serve, then those
/// that have the fewest engines for what they want, then what the next version will need.
/// @param board learns of the newest versions.
std::vector<planned_order> plan_orders(engine_board& board, model_needs const& needs,
                                       planner_options const& options);

}  // namespace frostline::engines
