/// @file The routes in force: maps a request to a service and to its limits. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "calls/tenants.h"

namespace frostline::calls {

/// How often requests of a route may run.
enum class route_kind {
  /// May run more than once.
  safe,
  /// Runs at most once per request.
  unsafe,
  /// Answered by an event stream; runs at most once unless the route is resumable.
  streaming,
  /// Accepts batch jobs.
  job,
};

struct service_share {
  std::string service;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  /// Host of the requests that the route matches.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::unsafe;
  milliseconds timeout{0};
  milliseconds target_latency{0};
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  /// Never empty.
  std::vector<service_share> shares;
  /// Jobs: time after submission by which results are due.
  milliseconds due{0};
  /// Jobs: time after submission after which an item may be dropped; 0: never.
  milliseconds max_queue{0};
  /// Jobs: all tokens of a sample must come from one weight version.
  bool single_version = false;
  /// Callers need no key, even if tenants are configured.
  bool is_public = false;

  /// Returns true if a request that may have run may be sent again.
  bool is_repeatable() const {
    return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
  }
};

struct engine_pool {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  std::vector<std::string> models;
};

struct service {
  std::string name;
  std::uint32_t max_connections = 100;
  /// Null unless the servers are model engines.
  std::shared_ptr<engine_pool const> engines;
};

/// Limits on the size of a client's requests, and on how long the client may take to send them.
struct client_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 32 * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15'000};
};

/// A complete configuration as an operator accepted it.
struct configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  /// Routes that were skipped because they name no service.
  std::size_t skipped_routes = 0;
  std::map<std::string, service> services;
  client_limits limits;
  /// If empty, callers need no keys. Must pass validate_tenants.
  std::vector<tenant> tenants;
};

/// Services that clients may call directly: all except engine pools that only job routes use.
std::set<std::string> callable_services(configuration const& all);

/// Pools in which trainers compete without a rank that decides between them: the pool serves at
/// least two models, at least two routes of jobs with a due time use it, and all routes of jobs
/// that use it have the same priority.
std::set<std::string> competing_pools(configuration const& all);

/// Immutable; a request keeps the table that it began with.
class route_table {
 public:
  /// @param in_force_since when the configuration came into force on this node; for log lines.
  explicit route_table(configuration all, time_point in_force_since = time_point::min());

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  route const* match(std::string_view host, std::string_view path) const;
  configuration const& all() const { return all_; }
  time_point in_force_since() const { return in_force_since_; }
  service const* find_service(std::string const& name) const;
  tenant_index const& tenants() const { return tenants_; }
  std::set<std::string> const& callable_services() const { return callable_services_; }
  std::set<std::string> const& competing_pools() const { return competing_pools_; }
  /// Returns true if jobs can be submitted at this host without a key.
  bool has_public_job_route(std::string_view host) const;

 private:
  configuration all_;
  time_point in_force_since_;
  /// Longest prefix first, by host.
  std::map<std::string, std::vector<route const*>, std::less<>> by_host_;
  tenant_index tenants_;
  std::set<std::string> callable_services_;
  std::set<std::string> competing_pools_;
};

/// Distributes the requests of a route over its services by smooth weighted round robin, so that
/// the shares also hold over short intervals.
class share_picker {
 public:
  /// @param can_serve returns whether a service has a server. Services without one are passed over
  /// as long as another has one; their shares go to the others.
  std::string const& pick(
      route const& matched_route, std::function<bool(std::string const& service)> const& can_serve =
                                      [](auto const&) { return true; });

 private:
  std::map<std::string, std::map<std::string, std::int64_t>> credits_;
};

/// The configuration in force on this node. Its version never decreases.
class active_configuration {
 public:
  /// @return false if `next` is not newer than the configuration in force.
  bool offer(configuration next);
  /// Null before the first configuration.
  std::shared_ptr<route_table const> const& table() const { return table_; }

 private:
  std::shared_ptr<route_table const> table_;
};

}  // namespace frostline::calls
