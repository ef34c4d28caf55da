/// @file The pools of engines as one node sees them: a candidate for each one's lease, and its
/// owner's services if the node holds it.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/settings.h"
#include "http/client.h"
#include "jobs/job_client.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {

/// References outlive the pools.
struct pools_dependencies {
  asio::io_context& context;
  settings const& all_settings;
  platform_adapter& adapter;
  http::client& transport;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
  quarantine::service& quarantine;
};

class pools {
 public:
  explicit pools(pools_dependencies dependencies) : dependencies_(dependencies) {}

  jobs::pool_map& all() { return all_; }
  jobs::pool_map const& all() const { return all_; }

  /// Takes part in each pool that the configuration names.
  void ensure(calls::configuration const& wanted);
  /// The owners' records, whole. Pools without one are free.
  void take_owners(kv::range_answer const& records);
  /// @param record null: the owner's record is gone.
  void take_owner(std::string const& key, kv::key_value const* record);

  bool owns_any() const;
  /// Whether this node owns a pool, or goes on with the runs of one that it owned.
  bool needs_engines() const;
  /// Where another node that owns a pool can be reached.
  std::optional<endpoint> other_owner() const;

  void notify();
  /// @param ids of the servers that may have changed.
  void note_servers(std::vector<std::string> const& ids);
  void set_order_gap(milliseconds gap);
  void name_version(std::string const& model, std::uint64_t version);
  /// Stores what is finished by `deadline` and hands all pools on.
  awaitable<void> release(time_point deadline);
  /// Registers what other nodes call.
  void add_methods(rpc::dispatcher& methods);

 private:
  jobs::pool& make(std::string const& name);

  pools_dependencies dependencies_;
  jobs::pool_map all_;
  /// Records of the pools' last orderers, also of pools that this node does not know yet.
  std::map<std::string, kv::key_value> orderers_;
  bool owners_known_ = false;
};

}  // namespace frostline::gateway
