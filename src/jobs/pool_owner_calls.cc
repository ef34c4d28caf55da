/// @file Calls to a pool's owner from submitters and from other nodes.

#include <algorithm>

#include "base/log.h"
#include "jobs/job_check.h"
#include "jobs/pool_owner.h"
#include "jobs/result_reader.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_retry_after{250};
/// Time until memory may be free again: the jobs that hold it take seconds.
constexpr milliseconds k_memory_retry_after{2000};
/// Copies of a record while it is written: the submitted one, its encoded form, and that of the
/// table of jobs.
constexpr std::size_t k_written_copies = 3;
constexpr milliseconds k_offer_timeout{1000};
constexpr milliseconds k_max_list_wait{1000};
/// A job starts to run if its record is not stored after this time: many times what an available
/// store takes (4 ms).
constexpr milliseconds k_record_write_grace{100};
/// An unrecorded job is dropped after this time unless its record is still being written. Longer
/// than submitters wait (12 s on all deployments so far).
constexpr milliseconds k_unrecorded_job_timeout{15'000};

rpc::JobReplyT reply_with(rpc::JobStatus status, std::string detail) {
  rpc::JobReplyT reply;
  reply.status = status;
  reply.detail = std::move(detail);
  if (status == rpc::JobStatus::UNAVAILABLE) {
    reply.retry_after_ms = static_cast<std::uint64_t>(k_retry_after.count());
  }
  if (status == rpc::JobStatus::NO_MEMORY) {
    reply.retry_after_ms = static_cast<std::uint64_t>(k_memory_retry_after.count());
  }
  return reply;
}

/// Returns true if the caller may see this job. Records stored before the introduction of
/// tenants have no tenant and are visible to all callers.
bool may_see(rpc::JobCallT const& call, job_entry const& job) {
  return job.record.tenant.empty() || job.record.tenant == call.tenant;
}

}  // namespace

rpc::ProgressReplyT pool_owner::replicate(rpc::ProgressReportT report) {
  rpc::ProgressReplyT reply;
  bool const own = state_ == owner_state::active || state_ == owner_state::suspended;
  // Incremental reports of a previous owner are rejected, since this node lacks the texts that they
  // continue.
  if (own && report.whole && report.epoch < dependencies_.lease.epoch()) {
    adopt(report);
    reply.taken = true;
    return reply;
  }
  reply.taken = !own && replica_.take(std::move(report), boot_clock::now());
  return reply;
}

void pool_owner::adopt(rpc::ProgressReportT const& report) {
  std::size_t adopted = 0;
  for (auto const& progress : report.entries) {
    if (!table_.adopt(*progress, boot_clock::now())) continue;
    runner_.abort_run(progress->job, progress->index);
    ++adopted;
  }
  log_line(log_level::info, k_part, "Adopted progress of the previous owner.",
           {{"pool", report.pool}, {"former_epoch", report.epoch}, {"samples", adopted}});
  notify();
}

void pool_owner::offer_replica() {
  auto const& owner = dependencies_.lease.owner();
  bool const has_new_owner =
      owner && owner->node != dependencies_.node && owner->epoch > replica_.epoch();
  if (state_ != owner_state::standby || !has_new_owner) return;
  if (replica_.is_fresh(boot_clock::now())) {
    spawn(dependencies_.context,
          send_offer(owner->address, replica_.full_report(dependencies_.lease.resource())));
  }
  replica_.clear();
}

awaitable<void> pool_owner::send_offer(endpoint where, rpc::ProgressReportT report) {
  auto const reply = co_await rpc::call<rpc::ProgressReportT, rpc::ProgressReplyT>(
      dependencies_.transport, where, "JobService", "Replicate", report, k_offer_timeout);
  log_line(log_level::info, k_part, "Progress offered to the new owner.",
           {{"pool", report.pool},
            {"owner", where.to_string()},
            {"samples", report.entries.size()},
            {"taken", reply && reply.value().taken ? "yes" : "no"}});
}

awaitable<rpc::JobReplyT> pool_owner::handle(rpc::JobCallT call) {
  auto const peer = parse_endpoint(call.from_address);
  if (peer) {
    progress_.note_peer(*peer, call.from_zone, milliseconds(call.from_uptime_ms),
                        call.from_processor_share, boot_clock::now());
  }
  co_await wait_until_ready(call);
  switch (call.action) {
    case rpc::JobAction::SUBMIT:
      co_return co_await submit(std::move(call));
    case rpc::JobAction::LIST:
      co_return co_await list(std::move(call));
    case rpc::JobAction::BODY:
      co_return get_body(call);
    case rpc::JobAction::END:
      co_return co_await end(std::move(call));
  }
  co_return reply_with(rpc::JobStatus::INVALID, "unknown action");
}

void pool_owner::accept(std::shared_ptr<rpc::JobRecordT> const& record) {
  time_point const now = boot_clock::now();
  std::string const id = record->id;
  job_entry const* const unrecorded_job = table_.find(id);
  milliseconds const unrecorded_time{
      unrecorded_job == nullptr
          ? 0
          : std::chrono::duration_cast<milliseconds>(now - unrecorded_job->accepted_at).count()};
  if (unrecorded_job == nullptr) note_job(*record);
  log_line(log_level::info, k_part, "Job accepted.",
           {{"job", id},
            {"model", record->model},
            {"step", record->step},
            {"min_version", record->min_version},
            {"newest_version", orders_.newest(record->model)},
            {"items", record->items.size()},
            {"desired", record->desired},
            {"ran_ahead_ms", unrecorded_time.count()},
            {"job_bytes", job_bytes()},
            {"epoch", dependencies_.lease.epoch()}});
  table_.add(std::move(*record), now);
  table_.mark_recorded(id);
  notify();
}

awaitable<void> pool_owner::run_before_recorded(std::uint64_t term,
                                                std::shared_ptr<rpc::JobRecordT> record) {
  std::string const id = record->id;
  co_await wait_for(k_record_write_grace);
  // The job is in the table already if it was started in an earlier term.
  if (term != term_ || !submitting_.contains(id) || table_.find(id) != nullptr) co_return;
  log_line(log_level::info, k_part, "Job started before its record was stored.",
           {{"job", id}, {"items", record->items.size()}, {"epoch", dependencies_.lease.epoch()}});
  note_job(*record);
  table_.add_unrecorded(rpc::JobRecordT(*record), boot_clock::now());
  notify();
}

void pool_owner::drop_unrecorded(time_point now) {
  for (std::string const& id : table_.unrecorded_jobs(now - k_unrecorded_job_timeout)) {
    if (submitting_.contains(id)) continue;
    log_line(log_level::warning, k_part, "Dropped a job whose record was not stored.",
             {{"job", id}});
    runner_.abort_runs(id);
    table_.forget(id);
  }
}

std::size_t pool_owner::job_bytes() const {
  std::size_t bytes = table_.open_bytes();
  for (auto const& [id, written] : submitting_) bytes += written;
  return bytes;
}

void pool_owner::begin_submission(rpc::JobRecordT job_record) {
  std::size_t const written_bytes = k_written_copies * size_in_memory(job_record);
  auto const record = std::make_shared<rpc::JobRecordT>(std::move(job_record));
  std::string const id = record->id;
  std::uint64_t const term = term_;
  submitting_[id] = written_bytes;
  held_elsewhere_.erase(id);
  too_large_.erase(id);
  auto const on_done = [this, term, id, record](write_outcome outcome) {
    if (term == term_) {
      submitting_.erase(id);
      if (outcome == write_outcome::stored) accept(record);
      if (outcome == write_outcome::held_elsewhere) drop_held_elsewhere(id);
      if (outcome == write_outcome::too_large) too_large_.insert(id);
    }
    written_.notify_all();
  };
  // Without the mark, nodes that start after the configuration has dropped the pool would not know
  // that it has jobs.
  ensure_pool_mark();
  log_.write_record(*record, on_done, dependencies_.other_pools());
  if (submitting_.contains(id)) spawn(dependencies_.context, run_before_recorded(term, record));
}

void pool_owner::drop_held_elsewhere(std::string const& id) {
  log_line(log_level::info, k_part, "Job is held by another pool.",
           {{"job", id}, {"pool", dependencies_.lease.resource()}});
  held_elsewhere_.insert(id);
  runner_.abort_runs(id);
  table_.forget(id);
}

job_entry* pool_owner::find_recorded(std::string const& id) {
  job_entry* const found = table_.find(id);
  return found != nullptr && found->recorded ? found : nullptr;
}

awaitable<rpc::JobReplyT> pool_owner::submit(rpc::JobCallT call) {
  if (!call.record || call.record->items.empty()) {
    co_return reply_with(rpc::JobStatus::INVALID, "no items");
  }
  std::string const id = call.record->id;
  job_entry const* const earlier = table_.find(id);
  if (earlier != nullptr && !may_see(call, *earlier)) {
    co_return reply_with(rpc::JobStatus::INVALID, "the identifier is in use");
  }
  bool const known = find_recorded(id) != nullptr || unloaded_ended_jobs_.contains(id);
  if (known && can_read()) co_return reply_with(rpc::JobStatus::OK, {});
  std::string fault = find_fault(*call.record);
  if (record_keys::longest(dependencies_.lease.resource(), id) > dependencies_.limits.key_bytes) {
    fault = "the identifier is too long for the record store";
  }
  if (!fault.empty()) co_return reply_with(rpc::JobStatus::INVALID, fault);
  // UNAVAILABLE would tell the caller that no part of the job runs.
  bool const runs = table_.find(id) != nullptr;
  if (state_ != owner_state::active) {
    co_return reply_with(runs ? rpc::JobStatus::OUTCOME_UNKNOWN : rpc::JobStatus::UNAVAILABLE,
                         "not the owner");
  }
  if (!submitting_.contains(id)) {
    std::size_t const needed = size_in_memory(*call.record);
    if (!runs && !dependencies_.has_memory(needed)) {
      log_line(log_level::warning, k_part, "Job refused for memory.",
               {{"job", id}, {"needed", needed}, {"held", job_bytes()}});
      co_return reply_with(rpc::JobStatus::NO_MEMORY, "other jobs take all memory");
    }
    begin_submission(std::move(*call.record));
  }
  time_point const deadline = boot_clock::now() + milliseconds(call.deadline_ms);
  while (submitting_.contains(id) && boot_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  if (find_recorded(id) != nullptr) co_return reply_with(rpc::JobStatus::OK, {});
  if (held_elsewhere_.contains(id))
    co_return reply_with(rpc::JobStatus::UNKNOWN_JOB, "another pool has accepted it");
  if (too_large_.erase(id) > 0)
    co_return reply_with(rpc::JobStatus::INVALID, "the job is too large for the record store");
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

awaitable<rpc::JobReplyT> pool_owner::list(rpc::JobCallT call) {
  auto const wait = std::min(milliseconds(call.wait_ms), k_max_list_wait);
  time_point const deadline = boot_clock::now() + wait;
  while (true) {
    if (!can_read()) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
    if (auto mark_reply = reply_from_mark(call)) co_return std::move(*mark_reply);
    co_await ensure_loaded(call.job);
    job_entry* const job = table_.find(call.job);
    if (job == nullptr) {
      bool const authoritative = is_authoritative() && !unloaded_ended_jobs_.contains(call.job);
      co_return reply_with(
          authoritative ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE, {});
    }
    if (!may_see(call, *job)) co_return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
    if (!job->recorded) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
    bool const waiting =
        job->listed.size() <= call.after && boot_clock::now() < deadline && job->is_open();
    if (!waiting) break;
    co_await listed_.wait_until(deadline);
  }
  job_entry const& job = *table_.find(call.job);
  rpc::JobReplyT reply;
  reply.total = job.samples.size();
  std::size_t bytes = 0;
  for (std::size_t place = call.after; place < job.listed.size(); ++place) {
    rpc::SampleResultT const& result = job.samples[job.listed[place]].result;
    bytes += reply_bytes(result);
    if (bytes > k_max_reply_bytes && !reply.results.empty()) break;
    reply.results.push_back(std::make_unique<rpc::SampleResultT>(result));
  }
  bool const forwarded = !call.from_address.empty();
  bool const final = !job.is_open() && !reply.results.empty();
  if (forwarded && final && !read_budget_.take(bytes, boot_clock::now())) {
    reply.status = rpc::JobStatus::READ_RECORDS;
    reply.listed = job.listed.size();
    reply.results.clear();
  }
  co_return reply;
}

rpc::JobReplyT pool_owner::get_body(rpc::JobCallT const& call) {
  if (!can_read()) return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  job_entry const* const job = table_.find(call.job);
  if (job == nullptr && !is_authoritative()) {
    return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (job != nullptr && !may_see(call, *job)) {
    return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
  }
  if (job != nullptr && !job->recorded) {
    return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
  }
  if (job == nullptr || job->ended) return reply_with(rpc::JobStatus::UNKNOWN_JOB, {});
  for (sample_entry const& sample : job->samples) {
    if (sample.spec->id != call.item) continue;
    rpc::JobReplyT reply;
    reply.body = sample.spec->body;
    return reply;
  }
  return reply_with(rpc::JobStatus::UNKNOWN_JOB, "no such item");
}

void pool_owner::log_last_sample(job_entry const& job) const {
  auto const times = last_sample_times(job);
  if (!times) return;
  sample_entry const& sample = job.samples[times->index];
  auto const since = std::chrono::duration_cast<milliseconds>(sample.finished_at - job.accepted_at);
  log_line(log_level::info, k_part, "Last sample of the job.",
           {{"job", job.record.id},
            {"request", sample.spec->id},
            {"finished_after_ms", since.count()},
            {"waited_ms", times->waited.count()},
            {"ran_ms", times->ran.count()},
            {"scored_ms", times->scored.count()},
            {"events", sample.events},
            {"runs", sample.runs},
            {"comes_again", sample.resubmitted ? "yes" : "no"},
            {"listed", job.listed.size()},
            {"items", job.samples.size()}});
}

awaitable<rpc::JobReplyT> pool_owner::end(rpc::JobCallT call) {
  if (state_ != owner_state::active) {
    co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (auto mark_reply = reply_from_mark(call)) co_return std::move(*mark_reply);
  // Marks of older versions lack the tenant, so the record is needed.
  if (!call.tenant.empty()) co_await ensure_loaded(call.job);
  if (unloaded_ended_jobs_.contains(call.job)) {
    bool const any_tenant = call.tenant.empty();
    co_return reply_with(any_tenant ? rpc::JobStatus::OK : rpc::JobStatus::UNAVAILABLE, {});
  }
  job_entry* const job = table_.find(call.job);
  if (job != nullptr && !may_see(call, *job)) {
    co_return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
  }
  if (job == nullptr) {
    auto const status =
        is_authoritative() ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE;
    co_return reply_with(status, {});
  }
  if (!job->recorded) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
  if (job->ended && !end_writes_.contains(call.job)) co_return reply_with(rpc::JobStatus::OK, {});
  bool const write_lost = end_writes_.contains(call.job) && end_writes_[call.job] &&
                          *end_writes_[call.job] != write_outcome::stored;
  if (!job->ended || write_lost) {
    log_last_sample(*job);
    table_.end(call.job);
    runner_.abort_runs(call.job);
    end_writes_[call.job] = nullptr;
    rpc::JobEndT end;
    end.tenant = job->record.tenant;
    end.total = job->samples.size();
    log_.write_end(call.job, end, [this, id = call.job](write_outcome outcome) {
      end_writes_[id] = std::make_shared<write_outcome const>(outcome);
      written_.notify_all();
    });
  }
  time_point const deadline = boot_clock::now() + milliseconds(call.deadline_ms);
  while (end_writes_.contains(call.job) && !end_writes_[call.job] && boot_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  auto const found = end_writes_.find(call.job);
  bool const pending = found != end_writes_.end() && !found->second;
  bool const stored =
      found == end_writes_.end() || (found->second && *found->second == write_outcome::stored);
  if (!pending && stored) {
    end_writes_.erase(call.job);
    log_line(log_level::info, k_part, "Job ended.",
             {{"job", call.job}, {"epoch", dependencies_.lease.epoch()}});
    notify();
    co_return reply_with(rpc::JobStatus::OK, {});
  }
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

}  // namespace frostline::jobs
