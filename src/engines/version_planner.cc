#include "engines/version_planner.h"

#include <algorithm>
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

/// Engines that a model should be served by: all if it is alone, else its share and one more.
std::size_t wanted_engines(std::size_t engines, std::size_t models) {
  if (models <= 1) return engines;
  std::size_t const share = (engines + models - 1) / models;
  return std::min(engines, share + 1);
}

/// Models for which an engine holds a recent version.
std::size_t count_homes(board_engine const& one, named_versions const& named) {
  std::size_t homes = 0;
  for (auto const& [model, newest] : named) {
    auto const held = one.versions.find(model);
    if (newest > 2 && held != one.versions.end() && held->second + 1 >= newest) ++homes;
  }
  return homes;
}

void plan_model(engine_board const& board, named_versions const& named, std::string const& model,
                std::uint64_t newest, std::uint64_t slack, std::size_t models,
                std::vector<planned_order>& orders) {
  std::vector<candidate> others;
  std::size_t ready = 0;
  std::size_t fresh = 0;
  std::size_t usable = 0;
  for (auto const& [id, one] : board.engines()) {
    auto const held = one.versions.find(model);
    if (!is_ready(one) || held == one.versions.end()) continue;
    ++ready;
    bool const coming = one.load == load_state::ordered && one.ordered_model == model &&
                        one.ordered_version >= newest;
    if (held->second >= newest || coming) {
      ++fresh;
      ++usable;
      continue;
    }
    bool const still_usable = held->second + slack >= newest;
    if (still_usable) ++usable;
    if (one.load == load_state::ordered) continue;
    others.push_back({&one, held->second, count_homes(one, named)});
  }
  std::size_t const wanted = wanted_engines(ready, models);
  std::size_t const fresh_wanted = slack == 0 ? wanted : (wanted + 1) / 2;
  std::size_t const for_fresh = fresh_wanted > fresh ? fresh_wanted - fresh : 0;
  std::size_t const for_use = wanted > usable ? wanted - usable : 0;
  std::size_t count = std::max(for_fresh, for_use);
  std::sort(others.begin(), others.end(), [&](candidate const& left, candidate const& right) {
    auto const rank = [&](candidate const& one) {
      bool const useless = one.version + slack < newest;
      // Useless ones first; of these the ones that held a recent version, then the idlest.
      return std::tuple(!useless, newest - one.version, one.homes, one.engine->in_flight,
                        one.engine->server.id);
    };
    return rank(left) < rank(right);
  });
  for (candidate const& one : others) {
    if (count-- == 0) return;
    orders.push_back({one.engine->server.id, model, newest});
  }
}

}  // namespace

std::vector<planned_order> plan_orders(engine_board const& board, named_versions const& named,
                                       version_slack const& slack, planner_options const& options) {
  std::vector<planned_order> wanted;
  for (auto const& [model, newest] : named) {
    auto const known = slack.find(model);
    std::uint64_t const behind = known == slack.end() ? 1 : known->second;
    plan_model(board, named, model, newest, behind, named.size(), wanted);
  }
  std::size_t loading = 0;
  for (auto const& [id, one] : board.engines()) {
    if (one.load == load_state::ordered) ++loading;
  }
  std::vector<planned_order> now;
  std::set<std::string> taken;
  for (planned_order& order : wanted) {
    if (loading + now.size() >= options.parallel_loads) break;
    if (!taken.insert(order.engine).second) continue;
    now.push_back(std::move(order));
  }
  return now;
}

}  // namespace frostline::engines
