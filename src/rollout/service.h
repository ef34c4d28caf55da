/// @file The rollout side of a node: controllers of its engines, owners of its shards, and the
/// methods of trainers and of other nodes.
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
  /// @param dependencies its `local_controller` is set to this service's.
  /// @param leaving_marks where controllers note what engines say of themselves.
  service(node_dependencies& dependencies, routing::leaving_tracker& leaving_marks,
          bulk::store* local_bulk);

  void register_methods(rpc::dispatcher& methods);
  /// Everything that wants an owner, by what this node knows.
  std::vector<ownership::resource> list_resources() const;
  /// Brings owners and controllers in line with what this node owns now.
  void reconcile();
  /// Stops all owners; runs in flight on controlled engines go on until `runs_in_flight` is 0.
  void stop_owners();
  std::size_t runs_in_flight() const;
  /// Hands the runs that are left over to their shards' owners.
  void give_up_runs();
  bool owners_busy() const;

  void describe(rpc::GetStatusResponseT& status) const;

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
  /// Controllers that were replaced but still run samples.
  std::vector<std::shared_ptr<engines::controller>> retired_;
  bool stopping_ = false;
};

}  // namespace frostline::rollout
