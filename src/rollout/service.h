/// @file Rollout service of a node: the controllers of its engines, the owners of its shards, and
/// the RPC methods for trainers and for other nodes.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "rollout/node_dependencies.h"
#include "rollout/shard_owner.h"
#include "rpc/dispatcher.h"

namespace frostline::rollout {

class service {
 public:
  /// @param dependencies the constructor sets its `local_controller`.
  /// @param leaving_marks records which engines announced that they are leaving.
  /// @param local_bulk null if this node has no data folder.
  service(node_dependencies& dependencies, routing::leaving_tracker& leaving_marks,
          bulk::store* local_bulk);

  void register_methods(rpc::dispatcher& methods);
  /// Returns all shards and engines that need an owner, according to the configuration and the
  /// machine list of this node.
  std::vector<ownership::resource> list_resources() const;
  /// Starts and stops shard owners and engine controllers to match what this node owns.
  void reconcile();
  /// Stops all shard owners and engine controllers. Runs in flight on engines that this node
  /// controls continue; `runs_in_flight` returns their number.
  void stop_owners();
  std::size_t runs_in_flight() const;
  /// Interrupts the remaining runs, so that the shards' owners can resume them elsewhere.
  void abandon_runs();
  bool has_busy_owners() const;

  void fill_status(rpc::GetStatusResponseT& status) const;

 private:
  using submit_reply = rpc::reply<rpc::SubmitGroupsResponseT>;
  using pull_reply = rpc::reply<rpc::PullBatchResponseT>;

  awaitable<submit_reply> submit(rpc::SubmitGroupsRequestT request);
  awaitable<submit_reply> submit_to_shard(std::uint32_t shard, rpc::SubmitGroupsRequestT request);
  awaitable<pull_reply> pull(rpc::PullBatchRequestT request);
  awaitable<rpc::reply<rpc::RunSampleResponseT>> run_sample(rpc::RunSampleRequestT request);
  awaitable<rpc::reply<rpc::CancelSampleResponseT>> cancel(rpc::CancelSampleRequestT request);
  awaitable<rpc::reply<rpc::StoreBulkResponseT>> store_bulk(rpc::StoreBulkRequestT request);
  awaitable<rpc::reply<rpc::LoadBulkResponseT>> load_bulk(rpc::LoadBulkRequestT request);

  std::shared_ptr<shard_owner> find_owner(std::string const& shard_name) const;
  std::optional<endpoint> remote_owner(std::string const& shard_name) const;
  void reconcile_shards();
  void reconcile_engines();

  node_dependencies& dependencies_;
  routing::leaving_tracker& leaving_marks_;
  bulk::store* local_bulk_;
  std::map<std::string, std::shared_ptr<shard_owner>> owners_;
  std::map<std::string, std::shared_ptr<engines::controller>> controllers_;
  /// Replaced or released controllers with runs in flight.
  std::vector<std::shared_ptr<engines::controller>> draining_controllers_;
  bool stopping_ = false;
};

}  // namespace frostline::rollout
