/// @file Lifecycle, intake and recovery of a shard's owner. Its runs are in shard_runs.cc, its
/// batches in shard_batches.cc.

#include "rollout/shard_owner.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "rollout/wire.h"

namespace frostline::rollout {
namespace {

constexpr std::string_view k_part = "rollout";
constexpr milliseconds k_main_tick{50};
constexpr milliseconds k_recovery_pause{200};
constexpr milliseconds k_copy_retry{1000};
/// Groups may run ahead of the watermark by this much.
constexpr std::uint64_t k_group_window = 65'536;
constexpr std::uint32_t k_largest_group = 1024;
constexpr milliseconds k_window_retry{1000};

std::uint32_t shard_count(node_dependencies const& dependencies, std::string const& task) {
  auto const* held = dependencies.config.find_task(task);
  return held == nullptr ? 1 : std::max<std::uint32_t>(1, held->record.shards);
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
      committer_(dependencies.service),
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

std::uint32_t shard_owner::bound() const {
  auto const* task = task_record();
  return task == nullptr ? 0 : task->freshness_bound;
}

awaitable<void> shard_owner::main_loop() {
  while (!is_stopped()) {
    if (state_ == owner_state::recovering) {
      co_await recover();
      continue;
    }
    // A commit in flight may have taken effect: what it holds is delivered then, whatever is
    // published after it, and must stay until its answer is known.
    if (!committing_ && table_.drop_stale(published(), bound()) > 0) changed_.notify_all();
    abandon_lost_runs();
    dispatch();
    time_point const deadline = std::min(table_.next_due(), boot_clock::now() + k_main_tick);
    co_await changed_.wait_until(deadline);
  }
  log_line(log_level::info, k_part, "Stopped owning a shard.",
           {{"shard", name_}, {"epoch", epoch_}});
}

awaitable<void> shard_owner::recover() {
  bool const recovered = co_await try_recover();
  if (is_stopped()) co_return;
  if (!recovered) {
    co_await wait_for(k_recovery_pause);
    co_return;
  }
  state_ = owner_state::serving;
  changed_.notify_all();
  log_line(log_level::info, k_part, "Serves a shard.",
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
    log_line(log_level::warning, k_part, "Recovers without some disk nodes.",
             {{"shard", name_}, {"missing", bulk.replicas_failed}});
  }
  take_recovered(bulk.content);
  bulk_loaded_ = true;
  bool const whole = bulk.short_of_copies.groups.empty() && bulk.short_of_copies.samples.empty();
  if (!whole)
    spawn(dependencies_.context,
          restore_copies(shared_from_this(), std::move(bulk.short_of_copies)));
  co_return true;
}

/// Brings what a lost disk node held back to its number of copies.
awaitable<void> shard_owner::restore_copies(std::shared_ptr<shard_owner> self,
                                            rpc::StoreBulkRequestT missing) {
  while (!self->is_stopped()) {
    bool const stored = co_await self->dependencies_.bulk.put(missing);
    if (stored) co_return;
    co_await wait_for(k_copy_retry);
  }
}

void shard_owner::take_recovered(rpc::LoadBulkResponseT const& content) {
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
                               k_recovery_pause);
  }
  std::uint64_t const limit = ledger_.delivered().watermark() + k_group_window;
  rpc::StoreBulkRequestT bulk;
  bulk.task = task_;
  bulk.shard = shard_;
  rpc::SubmitGroupsResponseT response;
  response.shards = shard_count(dependencies_, task_);
  for (auto& group : request.groups) {
    if (group->samples == 0 || group->samples > k_largest_group || group->max_tokens == 0) {
      co_return rpc::bad_request("group " + std::to_string(group->group) +
                                 ": samples must be 1 to 1024, max_tokens above 0");
    }
    if (group->group >= limit) {
      co_return rpc::unavailable(rpc::reason::over_limit, "too far ahead of delivery",
                                 k_window_retry);
    }
    bool const old = group->group < ledger_.delivered().watermark();
    if (old || table_.knows_group(group->group)) {
      ++response.known;
    } else {
      bulk.groups.push_back(std::move(group));
    }
  }
  if (bulk.groups.empty()) co_return response;
  ++answering_;
  std::vector<sample_group> added;
  for (auto const& group : bulk.groups) added.push_back(from_wire(*group));
  bool const stored = co_await dependencies_.bulk.put(std::move(bulk));
  --answering_;
  if (!stored || state_ != owner_state::serving) {
    co_return rpc::unavailable(rpc::reason::not_ready, "groups could not be stored",
                               k_window_retry);
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
