/// @file The calls of submitters and of other nodes to a pool's owner.

#include <algorithm>

#include "base/log.h"
#include "jobs/pool_owner.h"
#include "jobs/result_reader.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_retry_after{250};
constexpr milliseconds k_offer_timeout{1000};
constexpr milliseconds k_longest_wait{1000};
/// A job whose record is not stored after that long begins to run: many times what the store takes
/// when it is well (4 ms), so that it is slow or out.
constexpr milliseconds k_run_ahead_after{100};
/// A job that was never stored is dropped after that long unless somebody submits it: more than
/// submitters wait (12 s on all deployments so far).
constexpr milliseconds k_longest_ahead{15'000};

rpc::JobReplyT reply_with(rpc::JobStatus status, std::string detail) {
  rpc::JobReplyT reply;
  reply.status = status;
  reply.detail = std::move(detail);
  if (status == rpc::JobStatus::UNAVAILABLE) {
    reply.retry_after_ms = static_cast<std::uint64_t>(k_retry_after.count());
  }
  return reply;
}

/// Whether the caller may know of this job. Records of before there were tenants name none.
bool may_see(rpc::JobCallT const& call, job const& owner) {
  return owner.record.tenant.empty() || owner.record.tenant == call.tenant;
}

}  // namespace

rpc::ProgressReplyT pool_owner::replicate(rpc::ProgressReportT report) {
  rpc::ProgressReplyT reply;
  bool const own = state_ == owner_state::active || state_ == owner_state::suspended;
  // Changes that a former owner still reports go on from what this node does not hold.
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
  log_line(log_level::info, k_part, "Progress of the former owner taken over.",
           {{"pool", report.pool}, {"former_epoch", report.epoch}, {"samples", adopted}});
  notify();
}

void pool_owner::offer_replica() {
  auto const& owner = dependencies_.lease.owner();
  bool const followed =
      owner && owner->node != dependencies_.node && owner->epoch > replica_.epoch();
  if (state_ != owner_state::standby || !followed) return;
  if (replica_.is_fresh(boot_clock::now())) {
    spawn(dependencies_.context,
          send_offer(owner->address, replica_.whole(dependencies_.lease.resource())));
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
      co_return body(call);
    case rpc::JobAction::END:
      co_return co_await end(std::move(call));
  }
  co_return reply_with(rpc::JobStatus::INVALID, "unknown action");
}

void pool_owner::accept(std::shared_ptr<rpc::JobRecordT> const& record) {
  time_point const now = boot_clock::now();
  std::string const id = record->id;
  job const* const ahead = table_.find(id);
  milliseconds const ran_ahead{
      ahead == nullptr
          ? 0
          : std::chrono::duration_cast<milliseconds>(now - ahead->accepted_at).count()};
  if (ahead == nullptr) note_job(*record);
  log_line(log_level::info, k_part, "Job accepted.",
           {{"job", id},
            {"model", record->model},
            {"step", record->step},
            {"min_version", record->min_version},
            {"newest_version", orders_.newest(record->model)},
            {"items", record->items.size()},
            {"desired", record->desired},
            {"ran_ahead_ms", ran_ahead.count()},
            {"epoch", dependencies_.lease.epoch()}});
  table_.add(std::move(*record), now);
  table_.note_recorded(id);
  notify();
}

awaitable<void> pool_owner::run_ahead(std::uint64_t term, std::shared_ptr<rpc::JobRecordT> record) {
  std::string const id = record->id;
  co_await wait_for(k_run_ahead_after);
  // A job that was run ahead in an earlier term is in the table already.
  if (term != term_ || !submitting_.contains(id) || table_.find(id) != nullptr) co_return;
  log_line(log_level::info, k_part, "Job runs while its record is written.",
           {{"job", id}, {"items", record->items.size()}, {"epoch", dependencies_.lease.epoch()}});
  note_job(*record);
  table_.add_unrecorded(rpc::JobRecordT(*record), boot_clock::now());
  notify();
}

void pool_owner::drop_unrecorded(time_point now) {
  for (std::string const& id : table_.unrecorded(now - k_longest_ahead)) {
    if (submitting_.contains(id)) continue;
    log_line(log_level::warning, k_part, "Job was not accepted; its runs end.", {{"job", id}});
    runner_.abort_runs(id);
    table_.forget(id);
  }
}

void pool_owner::begin_submission(rpc::JobRecordT job_record) {
  auto const record = std::make_shared<rpc::JobRecordT>(std::move(job_record));
  std::string const id = record->id;
  std::uint64_t const term = term_;
  submitting_[id] = true;
  log_.write_record(*record, [this, term, id, record](write_outcome outcome) {
    if (term == term_) {
      submitting_.erase(id);
      if (outcome == write_outcome::stored) accept(record);
    }
    written_.notify_all();
  });
  if (submitting_.contains(id)) spawn(dependencies_.context, run_ahead(term, record));
}

job* pool_owner::find_recorded(std::string const& id) {
  job* const found = table_.find(id);
  return found != nullptr && found->recorded ? found : nullptr;
}

awaitable<rpc::JobReplyT> pool_owner::submit(rpc::JobCallT call) {
  if (!call.record || call.record->items.empty()) {
    co_return reply_with(rpc::JobStatus::INVALID, "no items");
  }
  std::string const id = call.record->id;
  job const* const earlier = table_.find(id);
  if (earlier != nullptr && !may_see(call, *earlier)) {
    co_return reply_with(rpc::JobStatus::INVALID, "the identifier is in use");
  }
  bool const known = find_recorded(id) != nullptr || ended_unread_.contains(id);
  if (known && can_read()) co_return reply_with(rpc::JobStatus::OK, {});
  // A job that runs already must not be refused: a refusal says that none of it runs.
  bool const runs = table_.find(id) != nullptr;
  if (state_ != owner_state::active) {
    co_return reply_with(runs ? rpc::JobStatus::OUTCOME_UNKNOWN : rpc::JobStatus::UNAVAILABLE,
                         "not the owner");
  }
  if (!submitting_.contains(id)) begin_submission(std::move(*call.record));
  time_point const deadline = boot_clock::now() + milliseconds(call.deadline_ms);
  while (submitting_.contains(id) && boot_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  if (find_recorded(id) != nullptr) co_return reply_with(rpc::JobStatus::OK, {});
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

awaitable<rpc::JobReplyT> pool_owner::list(rpc::JobCallT call) {
  auto const wait = std::min(milliseconds(call.wait_ms), k_longest_wait);
  time_point const deadline = boot_clock::now() + wait;
  while (true) {
    if (!can_read()) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
    if (auto unread = answer_unread(call)) co_return std::move(*unread);
    co_await ensure_loaded(call.job);
    job* const owner = table_.find(call.job);
    if (owner == nullptr) {
      bool const sure = is_certain() && !ended_unread_.contains(call.job);
      co_return reply_with(sure ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE, {});
    }
    if (!may_see(call, *owner)) co_return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
    if (!owner->recorded) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
    bool const waiting =
        owner->listed.size() <= call.after && boot_clock::now() < deadline && owner->is_open();
    if (!waiting) break;
    co_await listed_.wait_until(deadline);
  }
  job const& owner = *table_.find(call.job);
  rpc::JobReplyT reply;
  reply.total = owner.samples.size();
  std::size_t bytes = 0;
  for (std::size_t place = call.after; place < owner.listed.size(); ++place) {
    rpc::SampleResultT const& result = owner.samples[owner.listed[place]].result;
    bytes += reply_bytes(result);
    if (bytes > k_longest_reply && !reply.results.empty()) break;
    reply.results.push_back(std::make_unique<rpc::SampleResultT>(result));
  }
  bool const passed_on = !call.from_address.empty();
  bool const final = !owner.is_open() && !reply.results.empty();
  if (passed_on && final && !reads_.take(bytes, boot_clock::now())) {
    reply.status = rpc::JobStatus::READ_RECORDS;
    reply.listed = owner.listed.size();
    reply.results.clear();
  }
  co_return reply;
}

rpc::JobReplyT pool_owner::body(rpc::JobCallT const& call) {
  if (!can_read()) return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  job const* const owner = table_.find(call.job);
  if (owner == nullptr && !is_certain()) {
    return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (owner != nullptr && !may_see(call, *owner)) {
    return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
  }
  if (owner != nullptr && !owner->recorded) {
    return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
  }
  if (owner == nullptr || owner->ended) return reply_with(rpc::JobStatus::UNKNOWN_JOB, {});
  for (sample const& one : owner->samples) {
    if (one.spec->id != call.item) continue;
    rpc::JobReplyT reply;
    reply.body = one.spec->body;
    return reply;
  }
  return reply_with(rpc::JobStatus::UNKNOWN_JOB, "no such item");
}

void pool_owner::log_last_sample(job const& owner) const {
  auto const times = times_of_last_sample(owner);
  if (!times) return;
  sample const& one = owner.samples[times->index];
  auto const since = std::chrono::duration_cast<milliseconds>(one.finished_at - owner.accepted_at);
  log_line(log_level::info, k_part, "Job waited for this sample.",
           {{"job", owner.record.id},
            {"request", one.spec->id},
            {"finished_after_ms", since.count()},
            {"waited_ms", times->waited.count()},
            {"ran_ms", times->ran.count()},
            {"scored_ms", times->scored.count()},
            {"events", one.events},
            {"runs", one.runs},
            {"comes_again", one.comes_again ? "yes" : "no"},
            {"listed", owner.listed.size()},
            {"items", owner.samples.size()}});
}

awaitable<rpc::JobReplyT> pool_owner::end(rpc::JobCallT call) {
  if (state_ != owner_state::active) {
    co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (auto unread = answer_unread(call)) co_return std::move(*unread);
  // The mark does not name its tenant, the record does.
  if (!call.tenant.empty()) co_await ensure_loaded(call.job);
  if (ended_unread_.contains(call.job)) {
    bool const any_tenant = call.tenant.empty();
    co_return reply_with(any_tenant ? rpc::JobStatus::OK : rpc::JobStatus::UNAVAILABLE, {});
  }
  job* const owner = table_.find(call.job);
  if (owner != nullptr && !may_see(call, *owner)) {
    co_return reply_with(rpc::JobStatus::UNKNOWN_JOB, "not its tenant");
  }
  if (owner == nullptr) {
    auto const status = is_certain() ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE;
    co_return reply_with(status, {});
  }
  if (!owner->recorded) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not accepted yet");
  if (owner->ended && !writing_.contains(call.job)) co_return reply_with(rpc::JobStatus::OK, {});
  bool const lost = writing_.contains(call.job) && writing_[call.job] &&
                    *writing_[call.job] != write_outcome::stored;
  if (!owner->ended || lost) {
    log_last_sample(*owner);
    table_.end(call.job);
    runner_.abort_runs(call.job);
    writing_[call.job] = nullptr;
    rpc::JobEndT end;
    end.tenant = owner->record.tenant;
    end.total = owner->samples.size();
    log_.write_end(call.job, end, [this, id = call.job](write_outcome outcome) {
      writing_[id] = std::make_shared<write_outcome const>(outcome);
      written_.notify_all();
    });
  }
  time_point const deadline = boot_clock::now() + milliseconds(call.deadline_ms);
  while (writing_.contains(call.job) && !writing_[call.job] && boot_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  auto const found = writing_.find(call.job);
  bool const pending = found != writing_.end() && !found->second;
  bool const stored =
      found == writing_.end() || (found->second && *found->second == write_outcome::stored);
  if (!pending && stored) {
    writing_.erase(call.job);
    log_line(log_level::info, k_part, "Job ended.",
             {{"job", call.job}, {"epoch", dependencies_.lease.epoch()}});
    notify();
    co_return reply_with(rpc::JobStatus::OK, {});
  }
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

}  // namespace frostline::jobs
