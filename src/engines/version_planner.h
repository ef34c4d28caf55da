/// @file Plans which engine loads which weight version next. No I/O; reads no clock.
///
/// If jobs may use the version before the newest, engines alternate: about half of a model's
/// engines load a new version, first those whose version is too old for jobs, while the others keep
/// serving.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engines/engine_board.h"

namespace frostline::engines {

struct planner_options {
  /// Service whose engines get orders; empty for all engines. A pool's samples may also run on
  /// engines of other services, which have pools, and owners, of their own.
  std::string service;
  /// Number of engines that may load concurrently, unless `parallel_fraction` allows more.
  std::uint32_t parallel_loads = 2;
  /// Fraction of a pool's engines that may load concurrently, unless `parallel_loads` allows more.
  double parallel_fraction = 0.2;
  /// Time after which an engine that has not loaded the ordered version is queried for the state of
  /// the order.
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

/// Returns the orders to send now, the most urgent first: for models without an engine that holds a
/// version that jobs may use, then for models with fewer such engines than wanted, then for models
/// with too few engines that hold the newest version.
/// @param board receives the newest version of each model from `demands`.
std::vector<planned_order> plan_orders(engine_board& board, model_demands const& demands,
                                       planner_options const& options);

}  // namespace frostline::engines
