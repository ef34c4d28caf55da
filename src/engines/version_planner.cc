#include "engines/version_planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace frostline::engines {
namespace {

struct candidate {
  board_engine const* engine = nullptr;
  std::uint64_t version = 0;
  std::size_t homes = 0;
};

bool is_ready(board_engine const& one) {
  return one.server.state == directory::server_state::ready;
}

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
  /// Runs that its engines take at once, all together.
  std::size_t places = 0;
  /// Engines to load, the best one last.
  std::vector<candidate> others;

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

/// Models for which an engine holds a recent version.
std::size_t count_homes(board_engine const& one, model_needs const& needs) {
  std::size_t homes = 0;
  for (auto const& [model, need] : needs) {
    auto const held = one.versions.find(model);
    if (need.newest > 2 && held != one.versions.end() && held->second + 1 >= need.newest) ++homes;
  }
  return homes;
}

void take_engine(model_plan& plan, board_engine const& one, model_needs const& needs) {
  auto const held = one.versions.find(plan.model);
  if (!is_ready(one) || held == one.versions.end()) return;
  ++plan.wanted;
  plan.places += one.server.slots;
  bool const coming = one.load == load_state::ordered && one.ordered_model == plan.model &&
                      one.ordered_version >= plan.need.newest;
  if (held->second >= plan.need.newest || coming) {
    ++plan.fresh;
    ++plan.usable;
    return;
  }
  if (held->second + plan.need.slack >= plan.need.newest) ++plan.usable;
  if (one.load == load_state::ordered) return;
  plan.others.push_back({&one, held->second, count_homes(one, needs)});
}

/// The best engine to load comes last: one that no job can use, of these one that held a recent
/// version, then the idlest.
void sort_candidates(model_plan& plan) {
  auto const rank = [&](candidate const& one) {
    bool const useless = one.version + plan.need.slack < plan.need.newest;
    return std::tuple(!useless, plan.need.newest - one.version, one.homes, one.engine->in_flight,
                      one.engine->server.id);
  };
  std::sort(
      plan.others.begin(), plan.others.end(),
      [&](candidate const& left, candidate const& right) { return rank(right) < rank(left); });
}

model_plan plan_model(engine_board const& board, model_needs const& needs, std::string const& model,
                      model_need const& need, double total_demand) {
  model_plan plan;
  plan.model = model;
  plan.need = need;
  for (auto const& [id, one] : board.engines()) take_engine(plan, one, needs);
  std::size_t const enough = enough_engines(plan.wanted, plan.places, need.samples);
  plan.wanted = wanted_engines(plan.wanted, need, total_demand, needs.size());
  plan.wanted = std::min(plan.wanted, enough);
  plan.fresh_wanted = need.slack == 0 ? plan.wanted : std::max<std::size_t>(plan.wanted / 2, 1);
  sort_candidates(plan);
  return plan;
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

std::vector<planned_order> plan_orders(engine_board const& board, model_needs const& needs,
                                       planner_options const& options) {
  double total_demand = 0;
  for (auto const& [model, need] : needs) total_demand += need.demand;
  std::vector<model_plan> plans;
  for (auto const& [model, need] : needs) {
    if (need.newest > 0) plans.push_back(plan_model(board, needs, model, need, total_demand));
  }
  std::size_t loading = 0;
  for (auto const& [id, one] : board.engines()) {
    if (one.load == load_state::ordered) ++loading;
  }
  std::size_t const limit = most_loading(board, options);
  std::vector<planned_order> orders;
  std::set<std::string> taken;
  while (loading + orders.size() < limit) {
    model_plan* const plan = most_pressing(plans);
    if (plan == nullptr) break;
    candidate const next = plan->others.back();
    plan->others.pop_back();
    bool const useless = next.version + plan->need.slack < plan->need.newest;
    // An engine that a more pressing model takes is there for this one later.
    if (!taken.insert(next.engine->server.id).second) continue;
    ++plan->fresh;
    if (useless) ++plan->usable;
    orders.push_back({next.engine->server.id, plan->model, plan->need.newest});
  }
  return orders;
}

}  // namespace frostline::engines
