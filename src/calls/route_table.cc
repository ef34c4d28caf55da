#include "calls/route_table.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::calls {
namespace {

constexpr std::string_view k_part = "config";

}  // namespace

std::set<std::string> services_of_calls(configuration const& all) {
  std::set<std::string> services;
  for (auto const& [name, one] : all.services) {
    if (!one.engines) services.insert(name);
  }
  for (route const& one : all.routes) {
    if (one.kind == route_kind::job) continue;
    for (service_share const& share : one.shares) services.insert(share.service);
  }
  return services;
}

route_table::route_table(configuration all, time_point in_force_since)
    : all_(std::move(all)),
      in_force_since_(in_force_since),
      tenants_(all_.tenants),
      services_of_calls_(calls::services_of_calls(all_)) {
  for (route const& one : all_.routes) by_host_[one.host].push_back(&one);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](route const* left, route const* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

route const* route_table::match(std::string_view host, std::string_view path) const {
  auto const found = by_host_.find(host.substr(0, host.find(':')));
  if (found == by_host_.end()) return nullptr;
  for (route const* one : found->second) {
    if (path.starts_with(one->path_prefix)) return one;
  }
  return nullptr;
}

bool route_table::has_public_job_route(std::string_view host) const {
  auto const found = by_host_.find(host.substr(0, host.find(':')));
  if (found == by_host_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [](route const* one) {
    return one->kind == route_kind::job && one->is_public;
  });
}

service const* route_table::find_service(std::string const& name) const {
  auto const found = all_.services.find(name);
  return found == all_.services.end() ? nullptr : &found->second;
}

std::string const& share_picker::pick(route const& one) {
  if (one.shares.size() == 1) return one.shares.front().service;
  auto& credits = credits_[one.name];
  std::int64_t total = 0;
  service_share const* best = nullptr;
  for (service_share const& share : one.shares) {
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
  std::uint64_t const before = table_ ? table_->all().version : 0;
  table_ = std::make_shared<route_table const>(std::move(next), boot_clock::now());
  log_line(log_level::info, k_part, "Configuration in force.",
           {{"version", table_->all().version},
            {"before", before},
            {"routes", table_->all().routes.size()},
            {"routes_left_out", table_->all().skipped_routes},
            {"tenants", table_->all().tenants.size()}});
  return true;
}

}  // namespace frostline::calls
