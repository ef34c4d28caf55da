#include "gateway/client_calls.h"

#include <algorithm>

#include "base/log.h"
#include "calls/access.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
constexpr milliseconds k_default_deadline{10'000};
/// Readers wait that much longer than they allow.
constexpr milliseconds k_list_margin{1200};
constexpr milliseconds k_end_deadline{3000};
/// Part of the caller's time that is kept for the way of the answer to it, and its bounds. At the
/// caller's very deadline the answer is lost: beside a busy machine (twelve busy processes on eight
/// cores) 3 of 24 submissions that were answered then had no reader any more, none with 100 ms
/// kept. The least is what ordinary calls keep.
constexpr int k_answer_part = 20;
constexpr milliseconds k_least_answer_time{15};
constexpr milliseconds k_most_answer_time{100};
/// When to come back to a node that knows no configuration yet: it hears one from others in a few
/// times this.
constexpr milliseconds k_unconfigured_retry{300};

/// How long a caller that waits for `patience` may be kept without an answer.
milliseconds time_to_answer(milliseconds patience) {
  milliseconds const kept =
      std::clamp(patience / k_answer_part, k_least_answer_time, k_most_answer_time);
  return std::max(patience - kept, milliseconds(0));
}

}  // namespace

awaitable<void> client_calls::handle(http::request message, calls::caller& from) {
  time_point const begin = boot_clock::now();
  calls::header_names const& names = dependencies_.adapter.names();
  auto about_job = dependencies_.adapter.parse_job_request(message);
  auto const table = dependencies_.configuration.table();
  if (about_job) {
    if (co_await admit_job_call(table.get(), message, *about_job, from)) {
      co_await handle_job(std::move(*about_job), from);
    }
    co_return;
  }
  calls::route const* by =
      table ? table->match(http::header(message, "Host"), http::to_string_view(message.target()))
            : nullptr;
  calls::access access;
  if (by != nullptr) access = calls::check_access(*table, message, by->is_public);
  if (!access.is_granted) {
    co_await refuse_access(access.verdict, *table, http::header(message, names.request_id), from);
    co_return;
  }
  std::string const tenant = access.who == nullptr ? std::string() : access.who->name;
  if (by != nullptr && by->kind == calls::route_kind::job) {
    co_await handle_submission(std::move(message), *by, tenant, from);
    co_return;
  }
  time_point deadline = begin + k_default_deadline;
  std::string const told(http::header(message, names.deadline));
  if (!told.empty()) deadline = begin + milliseconds(std::strtoll(told.c_str(), nullptr, 10));
  co_await dependencies_.forwarder.handle(table, by, std::move(message), tenant, deadline, from);
  auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
  dependencies_.request_metrics.note_call(spent);
}

awaitable<bool> client_calls::admit_job_call(calls::route_table const* table,
                                             http::request const& message, job_request& request,
                                             calls::caller& from) {
  if (table == nullptr) {
    // Whether the caller's key is good can't be told yet.
    rpc::JobReplyT reply;
    reply.status = rpc::JobStatus::UNAVAILABLE;
    reply.retry_after_ms = static_cast<std::uint64_t>(k_unconfigured_retry.count());
    co_await from.answer(dependencies_.adapter.write_job_reply(request.call, reply));
    co_return false;
  }
  bool const is_public = table->has_public_job_route(http::header(message, "Host"));
  calls::access const access = calls::check_access(*table, message, is_public);
  if (access.who != nullptr) request.call.tenant = access.who->name;
  if (access.is_granted) co_return true;
  co_await refuse_access(access.verdict, *table, request.call.job, from);
  co_return false;
}

awaitable<void> client_calls::refuse_access(calls::credentials verdict,
                                            calls::route_table const& table,
                                            std::string_view request, calls::caller& from) {
  dependencies_.request_metrics.note_access_refused();
  log_line(log_level::info, k_part, "Access refused.",
           {{"request", request},
            {"tenant", "unknown"},
            {"reason", calls::to_string(verdict)},
            {"config", table.all().version},
            {"records_age_ms", dependencies_.records_age().count()}});
  co_await from.answer(calls::access_denied_answer(verdict));
}

awaitable<void> client_calls::handle_job(job_request request, calls::caller& from) {
  bool const ends = request.call.action == rpc::JobAction::END;
  milliseconds patience =
      ends ? k_end_deadline : milliseconds(request.call.wait_ms) + k_list_margin;
  if (request.deadline) patience = std::min(patience, time_to_answer(*request.deadline));
  time_point const deadline = boot_clock::now() + patience;
  rpc::JobReplyT const reply = co_await dependencies_.jobs.ask(request.call, deadline);
  if (reply.status != rpc::JobStatus::OK) {
    log_line(log_level::info, k_part, "Job call not answered.",
             {{"job", request.call.job},
              {"action", rpc::EnumNameJobAction(request.call.action)},
              {"status", rpc::EnumNameJobStatus(reply.status)},
              {"detail", reply.detail}});
  }
  co_await from.answer(dependencies_.adapter.write_job_reply(request.call, reply));
}

awaitable<void> client_calls::handle_submission(http::request message, calls::route const& by,
                                                std::string const& tenant, calls::caller& from) {
  time_point const begin = boot_clock::now();
  std::string const pool = by.shares.front().service;
  milliseconds const longest = by.timeout > milliseconds(0) ? by.timeout : k_default_deadline;
  rpc::JobReplyT reply;
  auto request = dependencies_.adapter.parse_submission(message);
  if (!request) {
    reply.status = rpc::JobStatus::INVALID;
    reply.detail = "the body is not a job";
    log_line(log_level::info, k_part, "Submission answered.",
             {{"job", http::header(message, dependencies_.adapter.names().request_id)},
              {"pool", pool},
              {"status", rpc::EnumNameJobStatus(reply.status)},
              {"detail", reply.detail},
              {"after_ms", milliseconds_since(begin)}});
    co_await from.answer(dependencies_.adapter.write_job_reply(rpc::JobCallT(), reply));
    co_return;
  }
  request->call.tenant = tenant;
  request->call.record->tenant = tenant;
  // A submission is taken by its body alone; its copies need not stay in memory.
  message = http::request();
  rpc::JobCallT asked;
  asked.action = rpc::JobAction::SUBMIT;
  asked.job = request->call.job;
  milliseconds const patience = std::min(longest, request->deadline.value_or(longest));
  time_point const deadline = begin + time_to_answer(patience);
  reply = co_await dependencies_.jobs.submit(pool, std::move(request->call), deadline);
  auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
  dependencies_.request_metrics.note_submission(spent);
  log_line(log_level::info, k_part, "Submission answered.",
           {{"job", asked.job},
            {"pool", pool},
            {"status", rpc::EnumNameJobStatus(reply.status)},
            {"detail", reply.detail},
            {"after_ms", spent.count()}});
  co_await from.answer(dependencies_.adapter.write_job_reply(asked, reply));
}

}  // namespace frostline::gateway
