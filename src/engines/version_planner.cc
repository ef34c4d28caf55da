#include "engines/version_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace frostline::engines {
namespace {

/// Engines wanted in addition to a model's share, to absorb peaks of demand.
constexpr std::size_t k_extra_engines = 1;
constexpr std::size_t k_min_engines = 2;
/// Number of engine slots to provide for each sample of a model's latest job. Two jobs may be open,
/// and runs of a slow engine need a faster one to move to. With 3,000 engines, 3 slots made steps
/// late, and loads beyond 12 served no sample (docs/design/changed-workload.md).
constexpr std::size_t k_slots_per_sample = 12;

/// Planned and actual engine counts of one model.
struct model_plan {
  std::string model;
  model_demand demand;
  /// Number of engines that should hold a version that jobs may use.
  std::size_t wanted = 0;
  /// Number of engines that should hold the newest version.
  std::size_t up_to_date_wanted = 0;
  /// Number of engines that hold the newest version, or are loading it.
  std::size_t up_to_date = 0;
  /// Number of engines that hold a version that jobs may use, or are loading one.
  std::size_t usable = 0;
  load_candidates candidates;

  bool needs_usable() const { return usable < wanted; }
  bool needs_load() const {
    return !candidates.empty() && (needs_usable() || up_to_date < up_to_date_wanted);
  }
};

/// Returns the number of engines that should serve a model: its share of the total job size, plus
/// `k_extra_engines`; all engines if there is only one model.
std::size_t wanted_engines(std::size_t engines, model_demand const& demand, double total_size,
                           std::size_t models) {
  if (models <= 1) return engines;
  bool const known = demand.job_size > 0 && total_size > 0;
  double const share = known ? demand.job_size / total_size : 1.0 / static_cast<double>(models);
  auto const proportional =
      static_cast<std::size_t>(std::ceil(static_cast<double>(engines) * share));
  return std::min(engines, std::max(proportional, k_min_engines) + k_extra_engines);
}

/// Returns the number of engines with enough slots for the samples of a model's latest job; all
/// engines if the number of samples or of slots is unknown.
std::size_t sufficient_engines(std::size_t engines, std::size_t total_slots, std::size_t samples) {
  if (samples == 0 || total_slots == 0) return engines;
  std::size_t const needed = samples * k_slots_per_sample * engines;
  return std::max((needed + total_slots - 1) / total_slots, k_min_engines);
}

model_plan plan_model(engine_board const& board, model_demands const& demands,
                      std::string const& model, model_demand const& demand, double total_size) {
  model_counts const counts = board.index().count(model, demand.newest, demand.allowed_lag);
  std::size_t const enough = sufficient_engines(counts.engines, counts.total_slots, demand.samples);
  std::size_t const share = wanted_engines(counts.engines, demand, total_size, demands.size());
  std::size_t const wanted = std::min(share, enough);
  std::size_t const half = std::max<std::size_t>(wanted / 2, 1);
  return {model,
          demand,
          wanted,
          demand.allowed_lag == 0 ? wanted : half,
          counts.up_to_date,
          counts.usable,
          board.index().candidates(model, demand.newest, demand.allowed_lag)};
}

/// Returns the plan whose next load is the most urgent; null if no model needs a load.
model_plan* most_urgent(std::vector<model_plan>& plans) {
  model_plan* best = nullptr;
  auto const rank = [](model_plan const& plan) {
    double const fraction = static_cast<double>(plan.usable) / static_cast<double>(plan.wanted);
    return std::tuple(plan.usable > 0, !plan.needs_usable(), fraction, plan.up_to_date, plan.model);
  };
  for (model_plan& plan : plans) {
    if (!plan.needs_load()) continue;
    if (best == nullptr || rank(plan) < rank(*best)) best = &plan;
  }
  return best;
}

/// Returns how many engines of the pool may load concurrently.
std::size_t max_concurrent_loads(engine_board const& board, planner_options const& options) {
  double const fraction =
      std::ceil(static_cast<double>(board.engines().size()) * options.parallel_fraction);
  return std::max<std::size_t>(options.parallel_loads, static_cast<std::size_t>(fraction));
}

}  // namespace

std::vector<planned_order> plan_orders(engine_board& board, model_demands const& demands,
                                       planner_options const& options) {
  double total_size = 0;
  for (auto const& [model, demand] : demands) {
    total_size += demand.job_size;
    board.set_newest(model, demand.newest);
  }
  std::vector<model_plan> plans;
  for (auto const& [model, demand] : demands) {
    if (demand.newest > 0) plans.push_back(plan_model(board, demands, model, demand, total_size));
  }
  std::size_t const loading = board.loading().size();
  std::size_t const limit = max_concurrent_loads(board, options);
  std::vector<planned_order> orders;
  std::set<std::string> assigned;
  while (loading + orders.size() < limit) {
    model_plan* const plan = most_urgent(plans);
    if (plan == nullptr) break;
    std::string const& id = board.index().id_of(plan->candidates.number());
    bool const too_old =
        plan->candidates.version() + plan->demand.allowed_lag < plan->demand.newest;
    plan->candidates.pop();
    bool const is_own =
        options.service.empty() || board.find(id)->server.service == options.service;
    if (!is_own) continue;
    // Skips an engine that was assigned to a more urgent model in this pass.
    if (!assigned.insert(id).second) continue;
    ++plan->up_to_date;
    if (too_old) ++plan->usable;
    orders.push_back({id, plan->model, plan->demand.newest});
  }
  return orders;
}

}  // namespace frostline::engines
