/// @file Lifecycle, submission and recovery of a shard owner. Runs are in shard_runs.cc, batches in
/// shard_batches.cc.

#include "rollout/shard_owner.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "rollout/wire.h"

namespace frostline::rollout {
namespace {

constexpr std::string_view k_part = "rollout";
constexpr milliseconds k_main_loop_interval{50};
constexpr milliseconds k_recovery_backoff{200};
constexpr milliseconds k_replication_retry_interval{1000};
/// Number of groups above the delivery watermark that are accepted.
constexpr std::uint64_t k_group_window = 65'536;
constexpr std::uint32_t k_max_group_size = 1024;
constexpr milliseconds k_window_retry_after{1000};

std::uint32_t shard_count(node_dependencies const& dependencies, std::string const& task) {
  auto const* record_entry = dependencies.config.find_task(task);
  return record_entry == nullptr ? 1 : std::max<std::uint32_t>(1, record_entry->record.shards);
}

}  // namespace

shard_owner::shard_owner(node_dependencies& dependencies, std::string task, std::uint32_t shard,
                         kv::revision epoch)
    : dependencies_(dependencies),
      task_(std::move(task)),
      shard_(shard),
      epoch_(epoch),
      name_(config::shard_name(task_, shard)),
      table_(name_ + "/" + std::to_string(epoch)),
      ledger_(shard, shard_count(dependencies, task_)),
      committer_(dependencies.kv_client),
      placement_(make_placement_policy(dependencies.placement, epoch)),
      changed_(dependencies.context) {}

void shard_owner::start() {
  spawn(dependencies_.context, [](std::shared_ptr<shard_owner> self) -> awaitable<void> {
    co_await self->main_loop();
  }(shared_from_this()));
}

void shard_owner::stop() {
  state_ = owner_state::stopped;
  changed_.notify_all();
}

void shard_owner::on_change() { changed_.notify_all(); }

rpc::TaskRecordT const* shard_owner::task_record() const {
  auto const* task = dependencies_.config.find_task(task_);
  return task == nullptr ? nullptr : &task->record;
}

std::uint32_t shard_owner::freshness_bound() const {
  auto const* task = task_record();
  return task == nullptr ? 0 : task->freshness_bound;
}

awaitable<void> shard_owner::main_loop() {
  while (!is_stopped()) {
    if (state_ == owner_state::recovering) {
      co_await recover();
      continue;
    }
    // While a commit is in flight its samples may already be delivered, so they must be kept until
    // its outcome is known, even if a newer version makes them stale.
    if (!committing_ && table_.drop_stale(published_version(), freshness_bound()) > 0)
      changed_.notify_all();
    abandon_lost_runs();
    dispatch();
    time_point const deadline =
        std::min(table_.next_due(), boot_clock::now() + k_main_loop_interval);
    co_await changed_.wait_until(deadline);
  }
  log_line(log_level::info, k_part, "Shard owner stopped.", {{"shard", name_}, {"epoch", epoch_}});
}

awaitable<void> shard_owner::recover() {
  bool const recovered = co_await try_recover();
  if (is_stopped()) co_return;
  if (!recovered) {
    co_await wait_for(k_recovery_backoff);
    co_return;
  }
  state_ = owner_state::serving;
  changed_.notify_all();
  log_line(log_level::info, k_part, "Shard owner serving.",
           {{"shard", name_},
            {"epoch", epoch_},
            {"queued", table_.counts().queued},
            {"finished", table_.counts().finished},
            {"batch", ledger_.batch()}});
}

awaitable<bool> shard_owner::try_recover() {
  bool const loaded = co_await reload_record();
  if (!loaded) co_return false;
  if (bulk_loaded_) co_return true;
  auto bulk = co_await dependencies_.bulk.load(task_, shard_);
  if (bulk.replicas_read == 0) co_return false;
  if (bulk.replicas_failed > 0) {
    log_line(log_level::warning, k_part, "Recovering without data from some disk nodes.",
             {{"shard", name_}, {"missing", bulk.replicas_failed}});
  }
  restore_recovered(bulk.content);
  bulk_loaded_ = true;
  bool const fully_replicated =
      bulk.under_replicated.groups.empty() && bulk.under_replicated.samples.empty();
  if (!fully_replicated)
    spawn(dependencies_.context,
          restore_replication(shared_from_this(), std::move(bulk.under_replicated)));
  co_return true;
}

/// Stores under-replicated groups and samples again until they have enough replicas.
awaitable<void> shard_owner::restore_replication(std::shared_ptr<shard_owner> self,
                                                 rpc::StoreBulkRequestT missing) {
  while (!self->is_stopped()) {
    bool const stored = co_await self->dependencies_.bulk.put(missing);
    if (stored) co_return;
    co_await wait_for(k_replication_retry_interval);
  }
}

void shard_owner::restore_recovered(rpc::LoadBulkResponseT const& content) {
  for (auto const& group : content.groups) table_.add_group(from_wire(*group), ledger_.delivered());
  std::set<std::string> committed;
  for (auto const& entry : ledger_.manifest()) committed.insert(entry.attempt);
  for (auto const& wire : content.samples) {
    finished_sample sample = from_wire(*wire);
    if (committed.contains(sample.attempt)) {
      table_.restore_content(std::move(sample));
    } else {
      table_.finish(std::move(sample));
    }
  }
}

awaitable<bool> shard_owner::reload_record() {
  auto stored = co_await committer_.read(config::key_of(config::k_delivery, name_));
  if (!stored) co_return false;
  if (stored.value().revision > 0) adopt(stored.value().record, stored.value().revision);
  co_return true;
}

void shard_owner::adopt(rpc::DeliveryRecordT const& record, kv::revision revision) {
  ledger_.adopt(record, revision);
  std::vector<sample_key> keys;
  for (auto const& entry : ledger_.manifest()) keys.push_back(entry.key);
  table_.mark_delivered(keys);
}

awaitable<rpc::reply<rpc::SubmitGroupsResponseT>> shard_owner::submit(
    rpc::SubmitGroupsRequestT request) {
  if (state_ != owner_state::serving) {
    co_return rpc::unavailable(rpc::reason::owner_unknown, "shard is changing its owner",
                               k_recovery_backoff);
  }
  std::uint64_t const limit = ledger_.delivered().watermark() + k_group_window;
  rpc::StoreBulkRequestT bulk;
  bulk.task = task_;
  bulk.shard = shard_;
  rpc::SubmitGroupsResponseT response;
  response.shards = shard_count(dependencies_, task_);
  for (auto& group : request.groups) {
    if (group->samples == 0 || group->samples > k_max_group_size || group->max_tokens == 0) {
      co_return rpc::bad_request("group " + std::to_string(group->group) +
                                 ": samples must be 1 to 1024, max_tokens above 0");
    }
    if (group->group >= limit) {
      co_return rpc::unavailable(rpc::reason::over_limit, "too far ahead of delivery",
                                 k_window_retry_after);
    }
    bool const old = group->group < ledger_.delivered().watermark();
    if (old || table_.knows_group(group->group)) {
      ++response.known;
    } else {
      bulk.groups.push_back(std::move(group));
    }
  }
  if (bulk.groups.empty()) co_return response;
  ++requests_in_flight_;
  std::vector<sample_group> added;
  for (auto const& group : bulk.groups) added.push_back(from_wire(*group));
  bool const stored = co_await dependencies_.bulk.put(std::move(bulk));
  --requests_in_flight_;
  if (!stored || state_ != owner_state::serving) {
    co_return rpc::unavailable(rpc::reason::not_ready, "groups could not be stored",
                               k_window_retry_after);
  }
  for (sample_group& group : added) {
    if (table_.add_group(std::move(group), ledger_.delivered()) == add_result::added) {
      ++response.accepted;
    }
  }
  changed_.notify_all();
  co_return response;
}

rpc::ShardStatusT shard_owner::status() const {
  rpc::ShardStatusT status;
  status.task = task_;
  status.shard = shard_;
  status.owner = dependencies_.owner.self().node;
  status.epoch = epoch_;
  status.queued = table_.counts().queued;
  status.running = table_.counts().running;
  status.finished = table_.counts().finished;
  status.delivered = delivered_count_;
  status.batch = ledger_.batch();
  status.reruns_for_freshness = table_.counts().reruns_for_freshness;
  return status;
}

}  // namespace frostline::rollout
