#include "gateway/client_calls.h"

#include <algorithm>
#include <cstdlib>

#include "base/log.h"
#include "calls/access.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
constexpr milliseconds k_default_deadline{10'000};
/// Added to the wait that a list call asks for, to get the timeout of the call.
constexpr milliseconds k_list_margin{1200};
constexpr milliseconds k_end_deadline{3000};
/// Share of the caller's waiting time that is reserved to deliver the answer, and its bounds. An
/// answer sent at the caller's deadline would arrive too late: beside a busy machine 3 of 24 such
/// answers had no reader any more, none with 100 ms reserved. The minimum equals the reserve of
/// ordinary calls.
constexpr int k_answer_reserve_divisor = 20;
constexpr milliseconds k_min_answer_reserve{15};
constexpr milliseconds k_max_answer_reserve{100};
/// Returned as retry_after_ms for calls about jobs that arrive before the first configuration.
constexpr milliseconds k_unconfigured_retry_delay{300};

/// Longest time that a client can ask to wait. Longer ones would overflow the clock.
constexpr std::chrono::hours k_max_wait{24};

/// Parses a number of milliseconds; 0 if `text` does not begin with a number.
milliseconds parse_wait(std::string const& text) {
  long long const number = std::strtoll(text.c_str(), nullptr, 10);
  return std::clamp(milliseconds(number), milliseconds(0), milliseconds(k_max_wait));
}

/// Returns how long an answer may take if the caller waits for `max_wait`.
milliseconds answer_timeout(milliseconds max_wait) {
  milliseconds const reserve =
      std::clamp(max_wait / k_answer_reserve_divisor, k_min_answer_reserve, k_max_answer_reserve);
  return std::max(max_wait - reserve, milliseconds(0));
}

}  // namespace

awaitable<void> client_calls::handle(http::request message, calls::caller& client) {
  time_point const arrived_at = boot_clock::now();
  calls::header_names const& names = dependencies_.adapter.names();
  auto job_call = dependencies_.adapter.parse_job_request(message);
  auto const table = dependencies_.configuration.table();
  if (job_call) {
    if (co_await admit_job_call(table.get(), message, *job_call, client)) {
      co_await handle_job(std::move(*job_call), client);
    }
    co_return;
  }
  calls::route const* matched_route =
      table ? table->match(http::header(message, "Host"), http::to_string_view(message.target()))
            : nullptr;
  calls::access access;
  if (matched_route != nullptr)
    access = calls::check_access(*table, message, matched_route->is_public);
  if (!access.is_granted) {
    co_await refuse_access(access.key_check, *table, http::header(message, names.request_id),
                           client);
    co_return;
  }
  std::string const tenant =
      access.matched_tenant == nullptr ? std::string() : access.matched_tenant->name;
  if (matched_route != nullptr && matched_route->kind == calls::route_kind::job) {
    co_await handle_submission(std::move(message), *matched_route, tenant, client);
    co_return;
  }
  time_point deadline = arrived_at + k_default_deadline;
  std::string const deadline_header(http::header(message, names.deadline));
  if (!deadline_header.empty()) deadline = arrived_at + parse_wait(deadline_header);
  if (matched_route != nullptr) {
    time_point const answered_by = std::min(deadline, arrived_at + matched_route->timeout);
    if (!admission_.admits(arrived_at, answered_by)) {
      co_await refuse_while_stopping(http::header(message, names.request_id), matched_route->name,
                                     answered_by, client);
      co_return;
    }
  }
  co_await dependencies_.forwarder.handle(table, matched_route, std::move(message), tenant,
                                          admission_.limit(deadline), client);
  auto const elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - arrived_at);
  dependencies_.request_metrics.note_call(elapsed);
}

awaitable<void> client_calls::refuse_while_stopping(std::string_view request,
                                                    std::string_view route, time_point deadline,
                                                    calls::caller& client) {
  log_line(log_level::info, k_part, "Request refused: this node stops before its deadline.",
           {{"request", request}, {"route", route}, {"deadline_ms", time_left(deadline).count()}});
  co_await client.answer(calls::failure_response(calls::call_failure::stopping));
}

awaitable<bool> client_calls::admit_job_call(calls::route_table const* table,
                                             http::request const& message, job_request& request,
                                             calls::caller& client) {
  if (table == nullptr) {
    // Keys can't be checked without a configuration.
    rpc::JobReplyT reply;
    reply.status = rpc::JobStatus::UNAVAILABLE;
    reply.retry_after_ms = static_cast<std::uint64_t>(k_unconfigured_retry_delay.count());
    co_await client.answer(dependencies_.adapter.write_job_reply(request.call, reply));
    co_return false;
  }
  bool const is_public = table->has_public_job_route(http::header(message, "Host"));
  calls::access const access = calls::check_access(*table, message, is_public);
  if (access.matched_tenant != nullptr) request.call.tenant = access.matched_tenant->name;
  if (access.is_granted) co_return true;
  co_await refuse_access(access.key_check, *table, request.call.job, client);
  co_return false;
}

awaitable<void> client_calls::refuse_access(calls::credential_status key_check,
                                            calls::route_table const& table,
                                            std::string_view request, calls::caller& client) {
  dependencies_.request_metrics.note_access_refused();
  log_line(log_level::info, k_part, "Access refused.",
           {{"request", request},
            {"tenant", "unknown"},
            {"reason", calls::to_string(key_check)},
            {"config", table.all().version},
            {"records_age_ms", dependencies_.records_age().count()}});
  co_await client.answer(calls::access_denied_answer(key_check));
}

awaitable<void> client_calls::handle_job(job_request request, calls::caller& client) {
  bool const is_end = request.call.action == rpc::JobAction::END;
  milliseconds max_wait =
      is_end ? k_end_deadline : milliseconds(request.call.wait_ms) + k_list_margin;
  if (request.deadline) max_wait = std::min(max_wait, answer_timeout(*request.deadline));
  time_point const deadline = admission_.limit(boot_clock::now() + max_wait);
  rpc::JobReplyT const reply = co_await dependencies_.jobs.ask(request.call, deadline);
  if (reply.status != rpc::JobStatus::OK) {
    log_line(log_level::info, k_part, "Job call not answered.",
             {{"job", request.call.job},
              {"action", rpc::EnumNameJobAction(request.call.action)},
              {"status", rpc::EnumNameJobStatus(reply.status)},
              {"detail", reply.detail}});
  }
  co_await client.answer(dependencies_.adapter.write_job_reply(request.call, reply));
}

awaitable<void> client_calls::handle_submission(http::request message,
                                                calls::route const& matched_route,
                                                std::string const& tenant, calls::caller& client) {
  time_point const arrived_at = boot_clock::now();
  std::string const pool = matched_route.shares.front().service;
  milliseconds const route_timeout =
      matched_route.timeout > milliseconds(0) ? matched_route.timeout : k_default_deadline;
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
              {"after_ms", milliseconds_since(arrived_at)}});
    co_await client.answer(dependencies_.adapter.write_job_reply(rpc::JobCallT(), reply));
    co_return;
  }
  request->call.tenant = tenant;
  request->call.record->tenant = tenant;
  // Frees the message: the parsed job is all that is needed from here on.
  message = http::request();
  rpc::JobCallT submitted_call;
  submitted_call.action = rpc::JobAction::SUBMIT;
  submitted_call.job = request->call.job;
  milliseconds const max_wait = std::min(route_timeout, request->deadline.value_or(route_timeout));
  time_point const deadline = arrived_at + answer_timeout(max_wait);
  if (!admission_.admits(arrived_at, deadline)) {
    co_await refuse_while_stopping(submitted_call.job, matched_route.name, deadline, client);
    co_return;
  }
  reply = co_await dependencies_.jobs.submit(pool, std::move(request->call),
                                             admission_.limit(deadline));
  auto const elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - arrived_at);
  dependencies_.request_metrics.note_submission(elapsed);
  log_line(log_level::info, k_part, "Submission answered.",
           {{"job", submitted_call.job},
            {"pool", pool},
            {"status", rpc::EnumNameJobStatus(reply.status)},
            {"detail", reply.detail},
            {"after_ms", elapsed.count()}});
  co_await client.answer(dependencies_.adapter.write_job_reply(submitted_call, reply));
}

}  // namespace frostline::gateway
