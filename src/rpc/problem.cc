#include "rpc/problem.h"

#include <array>
#include <boost/json.hpp>

namespace frostline::rpc {
namespace {

struct reason_name {
  reason why;
  std::string_view name;
};

constexpr std::array k_reason_names = {
    reason_name{reason::malformed_request, "malformed_request"},
    reason_name{reason::unknown_method, "unknown_method"},
    reason_name{reason::no_route, "no_route"},
    reason_name{reason::not_found, "not_found"},
    reason_name{reason::conflict, "conflict"},
    reason_name{reason::superseded, "superseded"},
    reason_name{reason::over_limit, "over_limit"},
    reason_name{reason::queue_full, "queue_full"},
    reason_name{reason::queue_deadline, "queue_deadline"},
    reason_name{reason::no_back_end, "no_back_end"},
    reason_name{reason::not_ready, "not_ready"},
    reason_name{reason::draining, "draining"},
    reason_name{reason::cut_off, "cut_off"},
    reason_name{reason::claim_taken, "claim_taken"},
    reason_name{reason::claim_unreadable, "claim_unreadable"},
    reason_name{reason::retry_budget_spent, "retry_budget_spent"},
    reason_name{reason::owner_unknown, "owner_unknown"},
    reason_name{reason::kv_unavailable, "kv_unavailable"},
    reason_name{reason::outcome_unknown, "outcome_unknown"},
    reason_name{reason::back_end_failed, "back_end_failed"},
    reason_name{reason::back_end_deadline, "back_end_deadline"},
    reason_name{reason::internal_error, "internal_error"},
};

reason parse_reason(std::string_view name) {
  for (reason_name const& entry : k_reason_names) {
    if (entry.name == name) return entry.why;
  }
  return reason::internal_error;
}

std::string text_field(boost::json::object const& object, std::string_view key) {
  auto const* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->as_string());
}

}  // namespace

std::string_view to_string(reason why) {
  for (reason_name const& entry : k_reason_names) {
    if (entry.why == why) return entry.name;
  }
  return "internal_error";
}

problem unavailable(reason why, std::string detail, milliseconds retry_after) {
  return {http::status::service_unavailable, why, std::move(detail), run_state::not_run,
          retry_after};
}

problem bad_request(std::string detail) {
  return {http::status::bad_request, reason::malformed_request, std::move(detail),
          run_state::not_run, milliseconds(0)};
}

problem unknown_outcome(reason why, std::string detail) {
  return {http::status::bad_gateway, why, std::move(detail), run_state::unknown, milliseconds(0)};
}

http::response to_response(problem const& error) {
  boost::json::object body;
  body["type"] = "about:blank";
  body["title"] = to_string(error.why);
  body["status"] = static_cast<int>(error.code);
  body["detail"] = error.detail;
  body["run_state"] = error.state == run_state::not_run ? "not_run" : "unknown";
  body["retry_after_ms"] = error.retry_after.count();
  auto answer = http::make_response(error.code, boost::json::serialize(body), http::k_problem_json);
  if (error.retry_after.count() > 0) {
    auto const whole_seconds = (error.retry_after.count() + 999) / 1000;
    answer.set(http::field::retry_after, std::to_string(whole_seconds));
  }
  return answer;
}

problem from_response(http::response const& answer) {
  problem error;
  error.code = answer.result();
  error.state = run_state::unknown;
  boost::system::error_code failure;
  auto const parsed = boost::json::parse(answer.body(), failure);
  if (failure || !parsed.is_object()) {
    error.detail = "status " + std::to_string(answer.result_int());
    return error;
  }
  auto const& body = parsed.as_object();
  error.why = parse_reason(text_field(body, "title"));
  error.detail = text_field(body, "detail");
  if (text_field(body, "run_state") == "not_run") error.state = run_state::not_run;
  auto const* retry_after = body.if_contains("retry_after_ms");
  if (retry_after != nullptr && retry_after->is_int64()) {
    error.retry_after = milliseconds(retry_after->as_int64());
  }
  return error;
}

}  // namespace frostline::rpc
