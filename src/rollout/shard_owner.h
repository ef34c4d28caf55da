/// @file Owns one shard of a task for one epoch: runs its samples and delivers them in batches.
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

/// Lifecycle of an owner. recovering -> serving; serving -> recovering when the delivery record is
/// not what it should be; both -> stopped, which is final.
enum class owner_state { recovering, serving, stopped };

class shard_owner : public std::enable_shared_from_this<shard_owner> {
 public:
  shard_owner(node_dependencies& dependencies, std::string task, std::uint32_t shard,
              kv::revision epoch);

  void start();
  /// The shard is another's now, or the node stops: nothing more is committed.
  void stop();
  /// Versions, engines or owners may have changed.
  void on_change();

  /// Takes groups of this shard in; they are on two disk nodes before it answers.
  awaitable<rpc::reply<rpc::SubmitGroupsResponseT>> submit(rpc::SubmitGroupsRequestT request);
  awaitable<rpc::reply<rpc::PullBatchResponseT>> pull(rpc::PullBatchRequestT request);

  rpc::ShardStatusT status() const;
  kv::revision epoch() const { return epoch_; }
  /// Whether a pull or submit is being answered, which a planned stop waits for.
  bool is_busy() const { return answering_ > 0; }

 private:
  using pull_reply = rpc::reply<rpc::PullBatchResponseT>;

  awaitable<void> main_loop();
  awaitable<void> recover();
  awaitable<bool> try_recover();
  static awaitable<void> restore_copies(std::shared_ptr<shard_owner> self,
                                        rpc::StoreBulkRequestT missing);
  void take_recovered(rpc::LoadBulkResponseT const& content);

  void refresh_engines();
  void dispatch();
  void abandon_lost_runs();
  awaitable<void> run_sample(work_item work, std::string engine);
  awaitable<rpc::reply<rpc::RunSampleResponseT>> call_controller(std::string engine,
                                                                 rpc::RunSampleRequestT request);
  void take_failure(work_item const& work, std::string const& engine, rpc::problem const& issue);
  awaitable<void> take_response(work_item const& work, std::string const& engine,
                                rpc::RunSampleResponseT response);
  void take_interruption(work_item const& work, rpc::RunSampleResponseT const& response);
  awaitable<void> complete_sample(finished_sample sample);
  awaitable<bool> score(finished_sample& sample);
  awaitable<bool> store_copy(finished_sample const& sample);
  void release_slot(std::string const& engine, std::string const& attempt);
  void block_engine(std::string const& engine, milliseconds duration);

  awaitable<pull_reply> answer_pull(rpc::PullBatchRequestT request);
  bool batch_is_ready(bool deadline_passed) const;
  awaitable<std::optional<pull_reply>> commit_next();
  awaitable<std::optional<pull_reply>> hand_out_again();
  awaitable<std::optional<pull_reply>> commit(rpc::DeliveryRecordT record,
                                              std::vector<sample_key> withdrawn);
  awaitable<std::optional<pull_reply>> refuse_after_confirm(rpc::problem refusal);
  std::optional<pull_reply> take_commit_failure(delivery::commit_answer const& answer);
  awaitable<bool> reload_record();
  void adopt(rpc::DeliveryRecordT const& record, kv::revision revision);
  void acknowledge_last_batch();
  std::size_t batch_limit() const;
  std::vector<delivery::manifest_entry> finished_entries(std::size_t limit);
  rpc::PullBatchResponseT make_batch(kv::revision committed) const;
  delivery::commit_conditions conditions() const;

  bool is_stopped() const { return state_ == owner_state::stopped; }
  rpc::TaskRecordT const* task_record() const;
  std::uint64_t published() const { return dependencies_.config.published_version(task_); }
  std::uint32_t bound() const;

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
    /// Node that controls the engine, and since when.
    std::string controller_node;
    kv::revision controller_epoch = 0;
    sample_key key;
  };
  std::map<std::string, active_run> runs_;
  /// The bulk data is read once; the record is read again after each doubt.
  bool bulk_loaded_ = false;
  bool committing_ = false;
  int answering_ = 0;
  std::uint64_t delivered_count_ = 0;
};

}  // namespace frostline::rollout
