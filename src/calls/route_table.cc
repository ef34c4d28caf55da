#include "calls/route_table.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::calls {
namespace {

constexpr std::string_view k_part = "config";

}  // namespace

std::set<std::string> callable_services(configuration const& all) {
  std::set<std::string> services;
  for (auto const& [name, definition] : all.services) {
    if (!definition.engines) services.insert(name);
  }
  for (route const& candidate : all.routes) {
    if (candidate.kind == route_kind::job) continue;
    for (service_share const& share : candidate.shares) services.insert(share.service);
  }
  return services;
}

std::set<std::string> competing_pools(configuration const& all) {
  struct job_routes {
    std::set<std::uint32_t> priorities;
    std::size_t with_due_time = 0;
  };
  std::map<std::string, job_routes> by_pool;
  for (route const& candidate : all.routes) {
    if (candidate.kind != route_kind::job) continue;
    for (service_share const& share : candidate.shares) {
      job_routes& routes = by_pool[share.service];
      routes.priorities.insert(candidate.priority);
      if (candidate.due > milliseconds(0)) ++routes.with_due_time;
    }
  }
  std::set<std::string> pools;
  for (auto const& [name, routes] : by_pool) {
    auto const pool = all.services.find(name);
    bool const has_models = pool != all.services.end() && pool->second.engines &&
                            pool->second.engines->models.size() >= 2;
    if (has_models && routes.priorities.size() == 1 && routes.with_due_time >= 2) {
      pools.insert(name);
    }
  }
  return pools;
}

route_table::route_table(configuration all, time_point in_force_since)
    : all_(std::move(all)),
      in_force_since_(in_force_since),
      tenants_(all_.tenants),
      callable_services_(calls::callable_services(all_)),
      competing_pools_(calls::competing_pools(all_)) {
  for (route const& candidate : all_.routes) by_host_[candidate.host].push_back(&candidate);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](route const* left, route const* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

route const* route_table::match(std::string_view host, std::string_view path) const {
  auto const found = by_host_.find(host.substr(0, host.find(':')));
  if (found == by_host_.end()) return nullptr;
  for (route const* candidate : found->second) {
    if (path.starts_with(candidate->path_prefix)) return candidate;
  }
  return nullptr;
}

bool route_table::has_public_job_route(std::string_view host) const {
  auto const found = by_host_.find(host.substr(0, host.find(':')));
  if (found == by_host_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [](route const* candidate) {
    return candidate->kind == route_kind::job && candidate->is_public;
  });
}

service const* route_table::find_service(std::string const& name) const {
  auto const found = all_.services.find(name);
  return found == all_.services.end() ? nullptr : &found->second;
}

std::string const& share_picker::pick(
    route const& matched_route, std::function<bool(std::string const& service)> const& can_serve) {
  auto const& shares = matched_route.shares;
  if (shares.size() == 1) return shares.front().service;
  bool const any_serves =
      std::any_of(shares.begin(), shares.end(),
                  [&](service_share const& share) { return can_serve(share.service); });
  auto& credits = credits_[matched_route.name];
  std::int64_t total = 0;
  service_share const* best = nullptr;
  for (service_share const& share : shares) {
    if (any_serves && !can_serve(share.service)) continue;
    std::int64_t& credit = credits[share.service];
    credit += share.weight;
    total += share.weight;
    if (best == nullptr || credit > credits[best->service]) best = &share;
  }
  credits[best->service] -= total;
  return best->service;
}

bool active_configuration::offer(configuration next) {
  if (table_ && next.version <= table_->all().version) return false;
  std::uint64_t const previous_version = table_ ? table_->all().version : 0;
  table_ = std::make_shared<route_table const>(std::move(next), boot_clock::now());
  log_line(log_level::info, k_part, "Configuration in force.",
           {{"version", table_->all().version},
            {"before", previous_version},
            {"routes", table_->all().routes.size()},
            {"routes_left_out", table_->all().skipped_routes},
            {"tenants", table_->all().tenants.size()}});
  return true;
}

}  // namespace frostline::calls
