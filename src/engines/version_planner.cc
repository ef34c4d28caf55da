#include "engines/version_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace frostline::engines {
namespace {

/// Engines beyond its share that a model is served by, so that one model's long step finds room.
constexpr std::size_t k_extra_engines = 1;
constexpr std::size_t k_fewest_engines = 2;
/// Places that a model gets for each sample of a job. Two jobs may be open, runs are quicker on
/// engines that are not full, and a slow engine's runs need a quicker one to move to. Measured with
/// 3,000 engines (docs/design/changed-workload.md): 3 make steps late, beyond 12 loads serve
/// nobody.
constexpr std::size_t k_places_a_sample = 12;

/// Where one model stands, and what it still lacks.
struct model_plan {
  std::string model;
  model_need need;
  std::size_t wanted = 0;
  std::size_t fresh_wanted = 0;
  /// Engines that hold the newest version, or load it.
  std::size_t fresh = 0;
  /// Engines that a job may use.
  std::size_t usable = 0;
  load_candidates others;

  bool lacks_usable() const { return usable < wanted; }
  bool lacks_any() const { return !others.empty() && (lacks_usable() || fresh < fresh_wanted); }
};

/// Engines that a model should be served by: its share of the demand and some more.
std::size_t wanted_engines(std::size_t engines, model_need const& need, double total_demand,
                           std::size_t models) {
  if (models <= 1) return engines;
  bool const known = need.demand > 0 && total_demand > 0;
  double const share = known ? need.demand / total_demand : 1.0 / static_cast<double>(models);
  auto const part = static_cast<std::size_t>(std::ceil(static_cast<double>(engines) * share));
  return std::min(engines, std::max(part, k_fewest_engines) + k_extra_engines);
}

/// Engines whose places are enough for a model's samples.
std::size_t enough_engines(std::size_t engines, std::size_t places, std::size_t samples) {
  if (samples == 0 || places == 0) return engines;
  std::size_t const needed = samples * k_places_a_sample * engines;
  return std::max((needed + places - 1) / places, k_fewest_engines);
}

model_plan plan_model(engine_board const& board, model_needs const& needs, std::string const& model,
                      model_need const& need, double total_demand) {
  model_counts const counts = board.index().count(model, need.newest, need.slack);
  std::size_t const enough = enough_engines(counts.engines, counts.places, need.samples);
  std::size_t const share = wanted_engines(counts.engines, need, total_demand, needs.size());
  std::size_t const wanted = std::min(share, enough);
  std::size_t const half = std::max<std::size_t>(wanted / 2, 1);
  return {model,
          need,
          wanted,
          need.slack == 0 ? wanted : half,
          counts.fresh,
          counts.usable,
          board.index().candidates(model, need.newest, need.slack)};
}

/// The model whose next load is the most pressing; null if none lacks anything.
model_plan* most_pressing(std::vector<model_plan>& plans) {
  model_plan* best = nullptr;
  auto const rank = [](model_plan const& one) {
    double const part = static_cast<double>(one.usable) / static_cast<double>(one.wanted);
    return std::tuple(one.usable > 0, !one.lacks_usable(), part, one.fresh, one.model);
  };
  for (model_plan& one : plans) {
    if (!one.lacks_any()) continue;
    if (best == nullptr || rank(one) < rank(*best)) best = &one;
  }
  return best;
}

/// Engines of this board that may load at once.
std::size_t most_loading(engine_board const& board, planner_options const& options) {
  double const part =
      std::ceil(static_cast<double>(board.engines().size()) * options.parallel_part);
  return std::max<std::size_t>(options.parallel_loads, static_cast<std::size_t>(part));
}

}  // namespace

std::vector<planned_order> plan_orders(engine_board& board, model_needs const& needs,
                                       planner_options const& options) {
  double total_demand = 0;
  for (auto const& [model, need] : needs) {
    total_demand += need.demand;
    board.set_newest(model, need.newest);
  }
  std::vector<model_plan> plans;
  for (auto const& [model, need] : needs) {
    if (need.newest > 0) plans.push_back(plan_model(board, needs, model, need, total_demand));
  }
  std::size_t const loading = board.loading().size();
  std::size_t const limit = most_loading(board, options);
  std::vector<planned_order> orders;
  std::set<std::string> taken;
  while (loading + orders.size() < limit) {
    model_plan* const plan = most_pressing(plans);
    if (plan == nullptr) break;
    std::string const& id = board.index().id_of(plan->others.number());
    bool const useless = plan->others.version() + plan->need.slack < plan->need.newest;
    plan->others.pop();
    // An engine that a more pressing model takes is there for this one later.
    if (!taken.insert(id).second) continue;
    ++plan->fresh;
    if (useless) ++plan->usable;
    orders.push_back({id, plan->model, plan->need.newest});
  }
  return orders;
}

}  // namespace frostline::engines
