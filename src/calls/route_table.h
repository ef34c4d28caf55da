/// @file Routes in force: which service a request goes to, and under which bounds. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "calls/tenants.h"

namespace frostline::calls {

/// What may be repeated.
enum class route_kind {
  /// May run more than once.
  safe,
  /// At most once for each request.
  unsafe,
  /// Answered by events; at most once unless it is resumable.
  streaming,
  /// Takes batch jobs.
  job,
};

struct service_share {
  std::string service;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::unsafe;
  milliseconds timeout{0};
  milliseconds target_latency{0};
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  /// Not empty.
  std::vector<service_share> shares;
  /// Jobs: results are due that long after submission.
  milliseconds due{0};
  /// Jobs: an item may be given up that long after submission; 0: never.
  milliseconds max_queue{0};
  /// Jobs: all tokens of a sample come from one version.
  bool single_version = false;
  /// Callers need no key, also where there are tenants.
  bool is_public = false;

  /// Whether a request may be sent again after it may have run.
  bool is_repeatable() const {
    return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
  }
};

/// A pool of model engines.
struct engine_pool {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  std::vector<std::string> models;
};

struct service {
  std::string name;
  std::uint32_t max_connections = 100;
  /// Services of model engines only.
  std::shared_ptr<engine_pool const> engines;
};

/// What a client may send, and how slowly.
struct client_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 32 * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15'000};
};

/// A whole configuration as an operator accepted it.
struct configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  /// Entries that no request can go by, since they name no service.
  std::size_t skipped_routes = 0;
  std::map<std::string, service> services;
  client_limits limits;
  /// None: callers need no keys. Without fault, see validate_tenants.
  std::vector<tenant> tenants;
};

/// Services whose servers this node's callers may reach: all but those of engines that only jobs
/// are run by.
std::set<std::string> services_of_calls(configuration const& all);

/// Immutable; requests hold on to the table that they began with.
class route_table {
 public:
  /// @param in_force_since for the log.
  explicit route_table(configuration all, time_point in_force_since = time_point::min());

  /// The route of `host` whose prefix begins `path` and is longest; null if there is none.
  route const* match(std::string_view host, std::string_view path) const;
  configuration const& all() const { return all_; }
  time_point in_force_since() const { return in_force_since_; }
  service const* find_service(std::string const& name) const;
  tenant_index const& tenants() const { return tenants_; }
  std::set<std::string> const& services_of_calls() const { return services_of_calls_; }
  /// Whether jobs can be handed in at this host without a key.
  bool has_public_job_route(std::string_view host) const;

 private:
  configuration all_;
  time_point in_force_since_;
  /// By host, longest prefix first.
  std::map<std::string, std::vector<route const*>, std::less<>> by_host_;
  tenant_index tenants_;
  std::set<std::string> services_of_calls_;
};

/// Spreads the requests of a route over its services so that each part gets its share at any
/// moment (smooth weighted round robin).
class share_picker {
 public:
  std::string const& pick(route const& one);

 private:
  std::map<std::string, std::map<std::string, std::int64_t>> credits_;
};

/// The configuration in force on this node, which never goes back to an older version.
class active_configuration {
 public:
  /// @return false if `next` is older than the one in force, or the same.
  bool offer(configuration next);
  /// Null before the first configuration.
  std::shared_ptr<route_table const> const& table() const { return table_; }

 private:
  std::shared_ptr<route_table const> table_;
};

}  // namespace frostline::calls
