#include "jobs/job_client.h"

#include <algorithm>

#include "base/log.h"
#include "jobs/result_reader.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_retry_delay{60};
constexpr milliseconds k_retry_after{300};
/// How long to wait for an answer of the owner before checking which node owns the pool.
constexpr milliseconds k_owner_timeout{2500};

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

awaitable<rpc::JobReplyT> job_client::call_remote_owner(endpoint where, rpc::JobCallT const& call,
                                                        time_point deadline) {
  milliseconds const timeout = std::min(time_left(deadline), k_owner_timeout);
  auto reply = co_await rpc::call<rpc::JobCallT, rpc::JobReplyT>(transport_, where, "JobService",
                                                                 "Call", call, timeout);
  if (reply) co_return std::move(reply.value());
  bool const not_delivered = reply.error().state == rpc::run_state::not_run;
  log_line(log_level::info, k_part, "Owner did not answer.",
           {{"job", call.job}, {"owner", where.to_string()}, {"error", reply.error().detail}});
  co_return not_delivered ? unavailable() : outcome_unknown();
}

void job_client::describe_self(rpc::JobCallT& call) const {
  auto const uptime = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at_);
  call.from_address = node_.address;
  call.from_zone = node_.zone;
  call.from_uptime_ms = static_cast<std::uint64_t>(uptime.count());
  call.from_processor_share = node_.processor_share;
}

awaitable<rpc::JobReplyT> job_client::read_stored(std::string pool, rpc::JobCallT call,
                                                  rpc::JobReplyT owner_reply) {
  auto reply = co_await read_results(store_, pool, call.job, call.after, owner_reply.total);
  // An empty reply is valid only past the results that the owner knows to be listed.
  bool const read = reply && (!reply->results.empty() || call.after >= owner_reply.listed);
  log_line(log_level::info, k_part, "Results read from the record store.",
           {{"job", call.job},
            {"after", call.after},
            {"results", reply ? reply->results.size() : 0},
            {"total", owner_reply.total}});
  if (!read) co_return unavailable();
  co_return std::move(*reply);
}

awaitable<rpc::JobReplyT> job_client::call_owner(pool& target, rpc::JobCallT const& call,
                                                 time_point deadline) {
  bool may_have_taken_effect = false;
  while (true) {
    rpc::JobCallT next = call;
    next.pool = target.lease->resource();
    next.deadline_ms = static_cast<std::uint64_t>(time_left(deadline).count());
    auto const& owner = target.lease->owner();
    rpc::JobReplyT reply = unavailable();
    bool const local = !owner || owner->node == node_.id;
    if (local) {
      reply = co_await target.owner->handle(std::move(next));
    } else {
      describe_self(next);
      reply = co_await call_remote_owner(owner->address, next, deadline);
    }
    if (reply.status == rpc::JobStatus::READ_RECORDS) {
      rpc::JobReplyT owner_reply = std::move(reply);
      reply = co_await read_stored(target.lease->resource(), call, std::move(owner_reply));
    }
    if (reply.status == rpc::JobStatus::OUTCOME_UNKNOWN) may_have_taken_effect = true;
    if (reply.status == rpc::JobStatus::NO_MEMORY && may_have_taken_effect) {
      reply = outcome_unknown();
    }
    bool const settled = reply.status != rpc::JobStatus::UNAVAILABLE &&
                         reply.status != rpc::JobStatus::OUTCOME_UNKNOWN;
    if (settled) co_return reply;
    if (time_left(deadline) <= k_retry_delay) break;
    co_await target.lease->wait_for_change(boot_clock::now() + k_retry_delay);
  }
  // Only a call that changes state can have an unknown outcome.
  bool const changes = call.action == rpc::JobAction::SUBMIT || call.action == rpc::JobAction::END;
  co_return may_have_taken_effect&& changes ? outcome_unknown() : unavailable();
}

awaitable<rpc::JobReplyT> job_client::submit(std::string pool_name, rpc::JobCallT call,
                                             time_point deadline) {
  auto const found = pools_.find(pool_name);
  if (found == pools_.end()) co_return unavailable();
  rpc::JobReplyT reply = co_await call_owner(found->second, call, deadline);
  if (reply.status != rpc::JobStatus::UNKNOWN_JOB) co_return reply;
  // Another pool has accepted the job before its route moved.
  for (auto& [name, target] : pools_) {
    if (name == pool_name) continue;
    reply = co_await call_owner(target, call, deadline);
    if (reply.status == rpc::JobStatus::OK) co_return reply;
  }
  // UNAVAILABLE would tell the caller that no part of the job runs.
  co_return outcome_unknown();
}

awaitable<rpc::JobReplyT> job_client::ask(rpc::JobCallT call, time_point deadline) {
  rpc::JobReplyT last_reply = unavailable();
  bool all_authoritative = !pools_.empty();
  for (auto& [name, target] : pools_) {
    rpc::JobReplyT reply = co_await call_owner(target, call, deadline);
    if (reply.status == rpc::JobStatus::OK) co_return reply;
    if (reply.status != rpc::JobStatus::UNKNOWN_JOB) all_authoritative = false;
    last_reply = std::move(reply);
  }
  if (all_authoritative || last_reply.status != rpc::JobStatus::UNKNOWN_JOB) co_return last_reply;
  co_return unavailable();
}

}  // namespace frostline::jobs
