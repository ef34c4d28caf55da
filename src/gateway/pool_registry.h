/// @file The engine pools that this node knows. For each pool, the node competes for the owner's
/// lease, and runs the owner's services while it holds the lease.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/features.h"
#include "gateway/settings.h"
#include "http/client.h"
#include "jobs/job_client.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {

/// References must outlive the registry.
struct pool_registry_dependencies {
  asio::io_context& context;
  settings const& all_settings;
  platform_adapter& adapter;
  http::client& transport;
  calls::active_configuration const& configuration;
  features const& enabled_features;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
};

class pool_registry {
 public:
  explicit pool_registry(pool_registry_dependencies dependencies) : dependencies_(dependencies) {}

  jobs::pool_map& all() { return all_; }
  jobs::pool_map const& all() const { return all_; }

  /// Creates the pools that the configuration names, and starts their leases.
  void ensure(calls::configuration const& wanted);
  /// Takes a complete snapshot of the owners' records. Pools without a record have no owner.
  /// Creates the pools that have jobs, also if the configuration does not name them.
  void take_owners(kv::range_answer const& records);
  /// @param record null if the owner's record was deleted.
  void take_owner(std::string const& key, kv::key_value const* record);

  bool owns_any() const;
  /// Returns true if this node owns a pool, or still handles runs of a pool that it owned.
  bool needs_engines() const;
  /// Returns the address of another node that owns a pool; nullopt if none is known.
  std::optional<endpoint> other_owner() const;

  /// Memory that the jobs of all pools take, in bytes.
  std::size_t job_bytes() const;

  void notify();
  /// @param ids servers that may have changed.
  void note_servers(std::vector<std::string> const& ids);
  void set_order_gap(milliseconds gap);
  void name_version(std::string const& model, std::uint64_t version);
  /// Stores finished results, waiting until `deadline` at the latest for each pool, and releases
  /// all leases.
  awaitable<void> release(time_point deadline);
  /// Registers the RPC methods for other nodes.
  void add_methods(rpc::dispatcher& methods);

 private:
  jobs::pool& make(std::string const& name);
  /// Creates a pool and starts its lease, unless the pool exists.
  void ensure_pool(std::string const& name);
  /// Takes a pool's mark. @param exists false if the mark was deleted.
  void take_mark(std::string const& pool, bool exists);
  /// Names of all pools but this one.
  std::vector<std::string> other_pools(std::string const& name) const;
  /// Returns true if jobs of this many bytes may be taken beside those that all pools hold.
  bool has_memory(std::size_t bytes) const;

  pool_registry_dependencies dependencies_;
  jobs::pool_map all_;
  /// Latest orderer record of each pool, by pool name, also of pools that are not in `all_` yet.
  std::map<std::string, kv::key_value> orderers_;
  /// Pools that have jobs according to their marks.
  std::set<std::string> marked_;
  /// True once a complete snapshot of the owners' records was received.
  bool owners_known_ = false;
};

}  // namespace frostline::gateway
