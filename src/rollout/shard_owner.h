/// @file Owner of one shard of a task for one epoch. Runs the shard's samples and delivers them to
/// the trainer in batches.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "delivery/committer.h"
#include "delivery/ledger.h"
#include "rollout/node_dependencies.h"
#include "rollout/placement.h"
#include "rollout/sample_table.h"
#include "rpc/problem.h"

namespace frostline::rollout {

/// Lifecycle of an owner: recovering -> serving; serving -> recovering if the stored delivery
/// record may differ from the local one; both -> stopped, which is final.
enum class owner_state { recovering, serving, stopped };

class shard_owner : public std::enable_shared_from_this<shard_owner> {
 public:
  shard_owner(node_dependencies& dependencies, std::string task, std::uint32_t shard,
              kv::revision epoch);

  void start();
  /// Stops the owner for good. Called if the shard has a new owner or the node shuts down.
  void stop();
  /// Wakes the owner after a change of the configuration or the machine list.
  void on_change();

  /// Queues groups of this shard after the configured number of replicas has stored them. Groups
  /// that were submitted before are only counted.
  awaitable<rpc::reply<rpc::SubmitGroupsResponseT>> submit(rpc::SubmitGroupsRequestT request);
  awaitable<rpc::reply<rpc::PullBatchResponseT>> pull(rpc::PullBatchRequestT request);

  rpc::ShardStatusT status() const;
  kv::revision epoch() const { return epoch_; }
  /// Returns true while a pull is in flight or submitted groups are being stored; a planned stop
  /// waits for both.
  bool is_busy() const { return requests_in_flight_ > 0; }

 private:
  using pull_reply = rpc::reply<rpc::PullBatchResponseT>;

  awaitable<void> main_loop();
  awaitable<void> recover();
  awaitable<bool> try_recover();
  static awaitable<void> restore_replication(std::shared_ptr<shard_owner> self,
                                             rpc::StoreBulkRequestT missing);
  void restore_recovered(rpc::LoadBulkResponseT const& content);

  void refresh_engines();
  void dispatch();
  void abandon_lost_runs();
  awaitable<void> run_sample(work_item work, std::string engine);
  awaitable<rpc::reply<rpc::RunSampleResponseT>> call_controller(std::string engine,
                                                                 rpc::RunSampleRequestT request);
  void handle_run_failure(work_item const& work, std::string const& engine,
                          rpc::problem const& failure);
  awaitable<void> handle_run_response(work_item const& work, std::string const& engine,
                                      rpc::RunSampleResponseT response);
  void handle_run_interruption(work_item const& work, rpc::RunSampleResponseT const& response);
  awaitable<void> complete_sample(finished_sample sample);
  awaitable<bool> score(finished_sample& sample);
  awaitable<bool> store_sample(finished_sample const& sample);
  void release_slot(std::string const& engine, std::string const& attempt);
  void block_engine(std::string const& engine, milliseconds duration);

  awaitable<pull_reply> handle_pull(rpc::PullBatchRequestT request);
  bool is_batch_ready(bool deadline_passed) const;
  awaitable<std::optional<pull_reply>> commit_next();
  awaitable<std::optional<pull_reply>> redeliver_batch();
  awaitable<std::optional<pull_reply>> commit(rpc::DeliveryRecordT record,
                                              std::vector<sample_key> withdrawn);
  awaitable<std::optional<pull_reply>> refuse_after_confirm(rpc::problem refusal);
  std::optional<pull_reply> handle_commit_failure(delivery::commit_answer const& answer);
  awaitable<bool> reload_record();
  void adopt(rpc::DeliveryRecordT const& record, kv::revision revision);
  void acknowledge_last_batch();
  std::size_t batch_limit() const;
  std::vector<delivery::manifest_entry> finished_entries(std::size_t limit);
  rpc::PullBatchResponseT make_batch(kv::revision committed) const;
  delivery::commit_conditions conditions() const;

  bool is_stopped() const { return state_ == owner_state::stopped; }
  rpc::TaskRecordT const* task_record() const;
  std::uint64_t published_version() const { return dependencies_.config.published_version(task_); }
  std::uint32_t freshness_bound() const;

  node_dependencies& dependencies_;
  std::string task_;
  std::uint32_t shard_;
  kv::revision epoch_;
  std::string name_;
  sample_table table_;
  delivery::ledger ledger_;
  delivery::committer committer_;
  std::unique_ptr<placement_policy> placement_;
  owner_state state_ = owner_state::recovering;
  async_condition changed_;
  std::map<std::string, engine_view> engines_;
  struct active_run {
    std::string engine;
    /// Node that controls the engine, and the epoch of its ownership.
    std::string controller_node;
    kv::revision controller_epoch = 0;
    sample_key key;
  };
  std::map<std::string, active_run> runs_;
  /// Bulk data is loaded once; the delivery record is read again on each recovery.
  bool bulk_loaded_ = false;
  bool committing_ = false;
  int requests_in_flight_ = 0;
  std::uint64_t delivered_count_ = 0;
};

}  // namespace frostline::rollout
