/// @file Plans which engine loads which weight version next. Pure.
///
/// Jobs may use the version before the newest, so engines alternate: for each new version, the
/// engines that hold the previous one keep serving while the others load. Each engine loads every
/// second version, and the pool is never fully occupied by loading.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engines/engine_board.h"

namespace frostline::engines {

struct planner_options {
  /// Number of engines that may load concurrently in a pool of any size.
  std::uint32_t parallel_loads = 2;
  /// Fraction of a pool's engines that may load concurrently, if that is more.
  double parallel_fraction = 0.2;
  /// Time without effect after which an order's state is queried from the engine.
  milliseconds order_timeout{2500};
};

struct planned_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
};

/// Demand for one model.
struct model_demand {
  /// Newest published version.
  std::uint64_t newest = 0;
  /// Number of versions behind the newest that jobs may use, derived from recent jobs.
  std::uint64_t allowed_lag = 1;
  /// Size of the latest job, in a unit common to all models; 0 if unknown.
  double job_size = 0;
  /// Number of samples of the latest job; 0 if unknown.
  std::size_t samples = 0;
};

using model_demands = std::map<std::string, model_demand>;

/// Returns the orders to send now, the most urgent first: for models that no engine can serve, then
/// for those with the lowest share of the engines that they want, then in preparation for the next
/// version.
/// @param board its newest versions are updated from `demands`.
std::vector<planned_order> plan_orders(engine_board& board, model_demands const& demands,
                                       planner_options const& options);

}  // namespace frostline::engines
