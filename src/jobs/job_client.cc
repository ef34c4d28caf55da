#include "jobs/job_client.h"

#include <algorithm>

#include "base/log.h"
#include "jobs/result_reader.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_retry_pause{60};
constexpr milliseconds k_retry_after{300};
/// Longest time for which one owner's answer is awaited before ownership is looked at again.
constexpr milliseconds k_patience{2500};

rpc::JobReplyT unavailable() {
  rpc::JobReplyT reply;
  reply.status = rpc::JobStatus::UNAVAILABLE;
  reply.retry_after_ms = static_cast<std::uint64_t>(k_retry_after.count());
  return reply;
}

rpc::JobReplyT outcome_unknown() {
  rpc::JobReplyT reply;
  reply.status = rpc::JobStatus::OUTCOME_UNKNOWN;
  return reply;
}

}  // namespace

awaitable<rpc::JobReplyT> job_client::ask_remote(endpoint where, rpc::JobCallT const& call,
                                                 time_point deadline) {
  milliseconds const timeout = std::min(time_left(deadline), k_patience);
  auto reply = co_await rpc::call<rpc::JobCallT, rpc::JobReplyT>(transport_, where, "JobService",
                                                                 "Call", call, timeout);
  if (reply) co_return std::move(reply.value());
  bool const unreached = reply.error().state == rpc::run_state::not_run;
  log_line(log_level::info, k_part, "Owner did not answer.",
           {{"job", call.job}, {"owner", where.to_string()}, {"error", reply.error().detail}});
  co_return unreached ? unavailable() : outcome_unknown();
}

void job_client::describe_self(rpc::JobCallT& call) const {
  auto const uptime = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at_);
  call.from_address = node_.address;
  call.from_zone = node_.zone;
  call.from_uptime_ms = static_cast<std::uint64_t>(uptime.count());
  call.from_processor_share = node_.processor_share;
}

awaitable<rpc::JobReplyT> job_client::read_stored(std::string pool, rpc::JobCallT call,
                                                  rpc::JobReplyT told) {
  auto reply = co_await read_results(store_, pool, call.job, call.after, told.total);
  // Beyond what the owner knows to be listed there may be nothing.
  bool const read = reply && (!reply->results.empty() || call.after >= told.listed);
  log_line(log_level::info, k_part, "Results read from the record store.",
           {{"job", call.job},
            {"after", call.after},
            {"results", reply ? reply->results.size() : 0},
            {"total", told.total}});
  if (!read) co_return unavailable();
  co_return std::move(*reply);
}

awaitable<rpc::JobReplyT> job_client::ask_pool(pool& one, rpc::JobCallT const& call,
                                               time_point deadline) {
  bool may_be_done = false;
  while (true) {
    rpc::JobCallT next = call;
    next.pool = one.lease->resource();
    next.deadline_ms = static_cast<std::uint64_t>(time_left(deadline).count());
    auto const& owner = one.lease->owner();
    rpc::JobReplyT reply = unavailable();
    bool const local = !owner || owner->node == node_.id;
    if (local) {
      reply = co_await one.owner->handle(std::move(next));
    } else {
      describe_self(next);
      reply = co_await ask_remote(owner->address, next, deadline);
    }
    if (reply.status == rpc::JobStatus::READ_RECORDS) {
      rpc::JobReplyT told = std::move(reply);
      reply = co_await read_stored(one.lease->resource(), call, std::move(told));
    }
    if (reply.status == rpc::JobStatus::OUTCOME_UNKNOWN) may_be_done = true;
    bool const settled = reply.status != rpc::JobStatus::UNAVAILABLE &&
                         reply.status != rpc::JobStatus::OUTCOME_UNKNOWN;
    if (settled) co_return reply;
    if (time_left(deadline) <= k_retry_pause) break;
    co_await one.lease->wait_for_change(boot_clock::now() + k_retry_pause);
  }
  // Only what changes something can be left half known.
  bool const changes = call.action == rpc::JobAction::SUBMIT || call.action == rpc::JobAction::END;
  co_return may_be_done&& changes ? outcome_unknown() : unavailable();
}

awaitable<rpc::JobReplyT> job_client::submit(std::string pool_name, rpc::JobCallT call,
                                             time_point deadline) {
  auto const found = pools_.find(pool_name);
  if (found == pools_.end()) co_return unavailable();
  co_return co_await ask_pool(found->second, call, deadline);
}

awaitable<rpc::JobReplyT> job_client::ask(rpc::JobCallT call, time_point deadline) {
  rpc::JobReplyT last = unavailable();
  bool sure = !pools_.empty();
  for (auto& [name, one] : pools_) {
    rpc::JobReplyT reply = co_await ask_pool(one, call, deadline);
    if (reply.status == rpc::JobStatus::OK) co_return reply;
    if (reply.status != rpc::JobStatus::UNKNOWN_JOB) sure = false;
    last = std::move(reply);
  }
  if (sure || last.status != rpc::JobStatus::UNKNOWN_JOB) co_return last;
  co_return unavailable();
}

}  // namespace frostline::jobs
