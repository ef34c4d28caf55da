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
  /// Engines that may load at once without slowing each other.
  std::uint32_t parallel_loads = 2;
  /// An order that shows no effect for that long is looked into.
  milliseconds order_patience{2500};
};

struct planned_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
};

/// Newest version of each model.
using named_versions = std::map<std::string, std::uint64_t>;

/// How many versions behind the newest a job may use, by model: learned from the jobs.
using version_slack = std::map<std::string, std::uint64_t>;

/// @return orders to give now, the most pressing first.
std::vector<planned_order> plan_orders(engine_board const& board, named_versions const& named,
                                       version_slack const& slack, planner_options const& options);

}  // namespace frostline::engines
