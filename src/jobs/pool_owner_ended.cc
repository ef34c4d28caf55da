/// @file Jobs that ended before this node became the pool's owner. Calls are answered from the
/// jobs' end marks where possible; the jobs' data is loaded on demand.

#include <algorithm>

#include "base/log.h"
#include "jobs/pool_owner.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
/// How long a call waits for an ended job's data: as long as one call to the store may take.
constexpr milliseconds k_ended_job_load_timeout{2500};
/// Pause between two reads, as a multiple of the duration of the previous one, to leave capacity
/// for running jobs.
constexpr int k_pause_factor = 2;
constexpr milliseconds k_failed_load_delay{250};

}  // namespace

std::optional<rpc::JobReplyT> pool_owner::reply_from_mark(rpc::JobCallT const& call) {
  auto const found = unloaded_ended_jobs_.find(call.job);
  if (found == unloaded_ended_jobs_.end() || !found->second) return std::nullopt;
  rpc::JobEndT const& end = *found->second;
  rpc::JobReplyT reply;
  if (!end.tenant.empty() && end.tenant != call.tenant) {
    reply.status = rpc::JobStatus::UNKNOWN_JOB;
    reply.detail = "not its tenant";
    return reply;
  }
  if (call.action == rpc::JobAction::LIST) {
    request_ended_job(call.job);
    reply.status = rpc::JobStatus::READ_RECORDS;
    reply.total = end.total;
  }
  return reply;
}

awaitable<void> pool_owner::ensure_loaded(std::string id) {
  std::uint64_t const term = term_;
  time_point const deadline = boot_clock::now() + k_ended_job_load_timeout;
  if (unloaded_ended_jobs_.contains(id)) request_ended_job(id);
  while (term == term_ && unloaded_ended_jobs_.contains(id) && boot_clock::now() < deadline) {
    co_await loaded_.wait_until(deadline);
  }
}

void pool_owner::request_ended_job(std::string const& id) {
  bool const already_queued = std::find(requested_ended_jobs_.begin(), requested_ended_jobs_.end(),
                                        id) != requested_ended_jobs_.end();
  if (!already_queued) requested_ended_jobs_.push_back(id);
  if (loading_ended_jobs_) return;
  loading_ended_jobs_ = true;
  spawn(dependencies_.context, load_ended_jobs_loop(term_));
}

awaitable<void> pool_owner::load_ended_jobs_loop(std::uint64_t term) {
  while (term == term_ && !requested_ended_jobs_.empty()) {
    time_point const begin = boot_clock::now();
    std::string const id = requested_ended_jobs_.front();
    co_await load_ended_job(id, term);
    if (term != term_) break;
    std::erase(requested_ended_jobs_, id);
    loaded_.notify_all();
    auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
    bool const failed = unloaded_ended_jobs_.contains(id);
    co_await wait_for(failed ? k_failed_load_delay : spent * k_pause_factor);
  }
  loading_ended_jobs_ = false;
  // Jobs may have been requested in a later term while this loop was still waiting.
  if (!requested_ended_jobs_.empty()) request_ended_job(requested_ended_jobs_.front());
}

awaitable<void> pool_owner::load_ended_job(std::string id, std::uint64_t term) {
  auto stored = co_await read_stored(id);
  if (term != term_ || !unloaded_ended_jobs_.contains(id)) co_return;
  if (!stored) {
    log_line(log_level::info, k_part, "Could not load an ended job.", {{"job", id}});
    co_return;
  }
  restore_job(id, std::move(*stored));
  table_.end(id);
  unloaded_ended_jobs_.erase(id);
}

}  // namespace frostline::jobs
