/// @file Committing a shard's batches and replying to pulls.

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "rollout/shard_owner.h"
#include "rollout/wire.h"

namespace frostline::rollout {
namespace {

constexpr std::string_view k_part = "delivery";
constexpr std::uint32_t k_max_wait_ms = 30'000;
constexpr std::uint32_t k_empty_retry_after_ms = 100;
constexpr milliseconds k_retry_backoff{20};
/// Maximum time between two checks of the state by a waiting pull that is not notified.
constexpr milliseconds k_pull_poll_interval{50};
constexpr milliseconds k_owner_retry_after{500};
constexpr milliseconds k_kv_retry_after{1000};

rpc::problem not_owner() {
  return rpc::unavailable(rpc::reason::owner_unknown, "shard has moved to another owner",
                          k_owner_retry_after);
}

rpc::problem no_kv() {
  return rpc::unavailable(rpc::reason::kv_unavailable, "delivery waits for the key-value service",
                          k_kv_retry_after);
}

rpc::problem conflict(rpc::reason why, std::string detail) {
  return {http::status::conflict, why, std::move(detail), rpc::run_state::not_run, milliseconds(0)};
}

/// Sets the `committing_` flag while the guard exists. Its destructor clears the flag and notifies
/// waiters.
class commit_guard {
 public:
  commit_guard(bool& flag, async_condition& changed) : flag_(flag), changed_(changed) {
    flag_ = true;
  }
  ~commit_guard() {
    flag_ = false;
    changed_.notify_all();
  }
  commit_guard(commit_guard const&) = delete;
  commit_guard& operator=(commit_guard const&) = delete;

 private:
  bool& flag_;
  async_condition& changed_;
};

}  // namespace

awaitable<shard_owner::pull_reply> shard_owner::pull(rpc::PullBatchRequestT request) {
  ++requests_in_flight_;
  auto answer = co_await handle_pull(std::move(request));
  --requests_in_flight_;
  co_return answer;
}

awaitable<shard_owner::pull_reply> shard_owner::handle_pull(rpc::PullBatchRequestT request) {
  std::uint32_t const wait_ms = std::min(request.max_wait_ms, k_max_wait_ms);
  time_point const deadline = boot_clock::now() + milliseconds(wait_ms);
  while (true) {
    if (state_ == owner_state::stopped) co_return not_owner();
    bool const expired = boot_clock::now() >= deadline;
    if (state_ == owner_state::serving && !committing_) {
      std::optional<pull_reply> answer;
      switch (ledger_.classify(request.cursor, request.cursor_identity)) {
        case delivery::pull_kind::next:
          if (is_batch_ready(expired)) answer = co_await commit_next();
          break;
        case delivery::pull_kind::repeat:
          answer = co_await redeliver_batch();
          break;
        case delivery::pull_kind::superseded:
          answer = co_await refuse_after_confirm(
              conflict(rpc::reason::superseded, "the cursor's batch was replaced: drop it"));
          break;
        case delivery::pull_kind::out_of_order:
          answer = co_await refuse_after_confirm(conflict(
              rpc::reason::conflict,
              "cursor does not fit: the last batch is " + std::to_string(ledger_.batch())));
          break;
      }
      if (answer) co_return std::move(*answer);
    }
    if (state_ == owner_state::recovering) co_await wait_for(k_retry_backoff);
    if (expired) {
      rpc::PullBatchResponseT empty_response;
      empty_response.retry_after_ms = k_empty_retry_after_ms;
      co_return empty_response;
    }
    time_point const next_check = boot_clock::now() + k_pull_poll_interval;
    co_await changed_.wait_until(std::min(deadline, next_check));
  }
}

/// Returns true if a full batch is finished, or if any sample is finished and either no other is
/// queued or running, or the pull's deadline has passed.
bool shard_owner::is_batch_ready(bool deadline_passed) const {
  auto const* task = task_record();
  std::uint32_t const finished = table_.counts().finished;
  if (task == nullptr || finished == 0) return false;
  return finished >= task->batch_size || table_.nothing_outstanding() || deadline_passed;
}

delivery::commit_conditions shard_owner::conditions() const {
  delivery::commit_conditions result;
  result.owner_key = config::key_of(config::k_shard_owners, name_);
  result.epoch = epoch_;
  result.version_key = config::key_of(config::k_versions, task_);
  result.version_revision = dependencies_.config.version_revision(task_);
  result.record_key = config::key_of(config::k_delivery, name_);
  result.record_revision = ledger_.revision();
  return result;
}

std::size_t shard_owner::batch_limit() const {
  auto const* task = task_record();
  return task == nullptr ? 0 : std::max<std::uint32_t>(1, task->batch_size);
}

std::vector<delivery::manifest_entry> shard_owner::finished_entries(std::size_t limit) {
  std::vector<delivery::manifest_entry> entries;
  std::vector<sample_key> already_delivered;
  for (finished_sample const* sample : table_.finished(limit)) {
    if (ledger_.delivered().contains(sample->key)) {
      already_delivered.push_back(sample->key);
      continue;
    }
    delivery::manifest_entry entry;
    entry.key = sample->key;
    entry.attempt = sample->attempt;
    entry.spans = sample->spans;
    entry.failed = sample->failed;
    entry.group_size = table_.group_size(sample->key.group);
    entries.push_back(std::move(entry));
  }
  table_.mark_delivered(already_delivered);
  return entries;
}

awaitable<std::optional<shard_owner::pull_reply>> shard_owner::commit_next() {
  commit_guard guard(committing_, changed_);
  table_.drop_stale(published_version(), freshness_bound());
  auto const entries = finished_entries(batch_limit());
  if (entries.empty()) co_return std::nullopt;
  auto record = ledger_.plan_next(entries, published_version(), make_unique_token());
  co_return co_await commit(std::move(record), {});
}

/// Delivers the last batch again. It is unchanged if the content of all its samples is available
/// and all samples that did not fail are within the freshness bound; otherwise a replacement is
/// committed.
awaitable<std::optional<shard_owner::pull_reply>> shard_owner::redeliver_batch() {
  commit_guard guard(committing_, changed_);
  std::vector<delivery::manifest_entry> kept;
  std::vector<delivery::manifest_entry> withdrawn;
  for (delivery::manifest_entry entry : ledger_.manifest()) {
    entry.group_size = table_.group_size(entry.key.group);
    finished_sample const* content = table_.find_delivered(entry.key);
    bool const has_content = content != nullptr && content->attempt == entry.attempt;
    bool const fresh = entry.failed || engines::is_within_bound(entry.spans, published_version(),
                                                                freshness_bound());
    (has_content && fresh ? kept : withdrawn).push_back(std::move(entry));
  }
  if (withdrawn.empty()) {
    auto const answer = co_await committer_.confirm(conditions());
    if (answer.result != delivery::commit_result::committed)
      co_return handle_commit_failure(answer);
    co_return make_batch(ledger_.revision());
  }
  log_line(log_level::warning, k_part, "Replacing an unacknowledged batch.",
           {{"shard", name_}, {"batch", ledger_.batch()}, {"withdrawn", withdrawn.size()}});
  table_.drop_stale(published_version(), freshness_bound());
  std::size_t const remaining_capacity =
      batch_limit() > kept.size() ? batch_limit() - kept.size() : 0;
  auto fresh_entries = finished_entries(remaining_capacity);
  std::move(fresh_entries.begin(), fresh_entries.end(), std::back_inserter(kept));
  std::vector<sample_key> withdrawn_keys;
  for (auto const& entry : withdrawn) withdrawn_keys.push_back(entry.key);
  auto record = ledger_.plan_replacement(kept, withdrawn, published_version(), make_unique_token());
  co_return co_await commit(std::move(record), std::move(withdrawn_keys));
}

awaitable<std::optional<shard_owner::pull_reply>> shard_owner::commit(
    rpc::DeliveryRecordT record, std::vector<sample_key> withdrawn) {
  bool const replaces = record.batch == ledger_.batch();
  auto const answer = co_await committer_.commit(conditions(), record);
  if (answer.result != delivery::commit_result::committed) co_return handle_commit_failure(answer);
  if (!replaces) acknowledge_last_batch();
  table_.withdraw(withdrawn);
  delivered_count_ += record.manifest.size();
  delivered_count_ -= std::min<std::uint64_t>(delivered_count_, withdrawn.size());
  adopt(record, answer.revision);
  co_return make_batch(answer.revision);
}

/// Drops the content of the last batch's samples, which the trainer has acknowledged as durable,
/// and all groups below the delivery watermark.
void shard_owner::acknowledge_last_batch() {
  std::vector<sample_key> keys;
  for (auto const& entry : ledger_.manifest()) keys.push_back(entry.key);
  table_.forget_content(keys);
  std::uint64_t const watermark = ledger_.delivered().watermark();
  if (ledger_.batch() == 0) return;
  table_.forget_below(watermark);
  spawn(dependencies_.context,
        [](std::shared_ptr<shard_owner> self, std::uint64_t below) -> awaitable<void> {
          co_await self->dependencies_.bulk.forget(self->task_, self->shard_, below);
        }(shared_from_this(), watermark));
}

/// @return the reply to the pull, or nullopt if the pull should be retried.
std::optional<shard_owner::pull_reply> shard_owner::handle_commit_failure(
    delivery::commit_answer const& answer) {
  switch (answer.result) {
    case delivery::commit_result::fenced:
      log_line(log_level::warning, k_part, "Commit fenced: the shard has another owner.",
               {{"shard", name_}, {"epoch", epoch_}});
      stop();
      return pull_reply(not_owner());
    case delivery::commit_result::version_changed:
      if (answer.version_entry) {
        kv::key_value const& entry = *answer.version_entry;
        dependencies_.config_sync.apply_committed(
            {entry.key, entry.mod_revision, entry.value, false});
      }
      return std::nullopt;
    case delivery::commit_result::record_changed:
    case delivery::commit_result::in_doubt:
      // Recovery reads the record again before the next commit is planned.
      state_ = owner_state::recovering;
      return std::nullopt;
    case delivery::commit_result::unavailable:
    case delivery::commit_result::committed:
      break;
  }
  return pull_reply(no_kv());
}

/// Refuses a pull after it has confirmed that this node still owns the shard and that its copy of
/// the delivery record is current, because a refusal is final.
awaitable<std::optional<shard_owner::pull_reply>> shard_owner::refuse_after_confirm(
    rpc::problem refusal) {
  commit_guard guard(committing_, changed_);
  auto const answer = co_await committer_.confirm(conditions());
  if (answer.result != delivery::commit_result::committed) co_return handle_commit_failure(answer);
  co_return pull_reply(std::move(refusal));
}

rpc::PullBatchResponseT shard_owner::make_batch(kv::revision committed) const {
  rpc::PullBatchResponseT response;
  response.committed_revision = committed;
  response.batch = std::make_unique<rpc::BatchT>();
  response.batch->number = ledger_.batch();
  response.batch->identity = ledger_.identity();
  response.batch->published_version = ledger_.published_version();
  for (auto const& entry : ledger_.manifest()) {
    finished_sample const* content = table_.find_delivered(entry.key);
    if (content != nullptr) response.batch->samples.push_back(to_wire(*content));
  }
  return response;
}

}  // namespace frostline::rollout
