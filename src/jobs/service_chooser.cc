#include "jobs/service_chooser.h"

#include <algorithm>

namespace frostline::jobs {

void service_chooser::begin_iteration(time_point now) {
  now_ = now;
  presence_.clear();
}

bool service_chooser::has_engine(std::string const& service, std::string const& model) {
  auto const [found, is_new] = presence_.try_emplace({service, model}, false);
  if (!is_new) return found->second;
  engines::run_requirements any_run;
  any_run.service = service;
  any_run.model = model;
  found->second = board_.find_obstacle(any_run, now_) > engines::run_obstacle::no_engine;
  return found->second;
}

std::string service_chooser::choose(calls::route const& route, std::string const& model,
                                    std::string const& current) {
  bool const is_named =
      std::any_of(route.shares.begin(), route.shares.end(),
                  [&](calls::service_share const& share) { return share.service == current; });
  auto const can_serve = [&](std::string const& service) { return has_engine(service, model); };
  if (is_named && (route.shares.size() == 1 || can_serve(current))) return current;
  bool const any_serves =
      std::any_of(route.shares.begin(), route.shares.end(),
                  [&](calls::service_share const& share) { return can_serve(share.service); });
  if (is_named && !any_serves) return current;
  return shares_.pick(route, can_serve);
}

engines::engine_entry const* service_chooser::choose_other_engine(calls::route const& route,
                                                                  engines::run_requirements& need) {
  std::string const current = need.service;
  for (calls::service_share const& share : route.shares) {
    if (share.service == current) continue;
    need.service = share.service;
    engines::engine_entry const* const engine = board_.choose(need, now_);
    if (engine != nullptr) return engine;
  }
  need.service = current;
  return nullptr;
}

}  // namespace frostline::jobs
