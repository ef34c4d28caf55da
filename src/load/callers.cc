#include "load/callers.h"

#include <algorithm>
#include <boost/filesystem.hpp>

#include "base/encoding.h"
#include "http/json_fields.h"

namespace frostline::load {
namespace {

constexpr milliseconds k_call_timeout{5000};
constexpr milliseconds k_retry_delay{50};
constexpr milliseconds k_poll_interval{10};

/// Returns true if the echoed fields are those of this request.
bool echoes_request(boost::json::object const& echo, std::string const& target,
                    std::string const& key, std::string const& body) {
  auto const* hash = echo.if_contains("body_hash");
  boost::system::error_code failure;
  bool const same_body =
      hash != nullptr && hash->to_number<std::uint64_t>(failure) == hash_bytes(body) && !failure;
  return same_body && json_text(echo, "target") == target && json_text(echo, "key") == key;
}

}  // namespace

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  auto const rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

callers::callers(asio::io_context& context, caller_options options)
    : context_(context),
      options_(std::move(options)),
      client_(context),
      journal_(options_.journal_path) {}

bool callers::stop_requested() const {
  // Only checked once per several calls, to avoid a file system access per call.
  constexpr std::uint64_t k_calls_between_checks = 16;
  if (options_.stop_file.empty() || report_.calls % k_calls_between_checks != 0) return false;
  return boost::filesystem::exists(options_.stop_file);
}

callers::outgoing_call callers::make_request(arrival const& planned) {
  outgoing_call call;
  call.number = report_.calls++;
  call.at_most_once = planned.at_most_once;
  call.key = "call-" + std::to_string(options_.seed) + "-" + std::to_string(call.number);
  call.target = (call.at_most_once ? options_.at_most_once_path : options_.repeatable_path) +
                "?n=" + std::to_string(call.number);
  if (call.at_most_once) call.body = "amount=" + std::to_string(planned.amount);
  return call;
}

awaitable<caller_report> callers::run() {
  time_point const begin = boot_clock::now();
  boot_timer timer(context_);
  for (arrival const& planned : options_.calls) {
    timer.expires_at(begin + planned.offset);
    co_await timer.async_wait(k_as_tuple);
    if (stop_requested()) break;
    ++in_flight_;
    spawn(context_, make_call(make_request(planned)));
  }
  while (in_flight_ > 0) co_await wait_for(k_poll_interval);
  report_.p50_ms = percentile(latencies_ms_, 0.5);
  report_.p99_ms = percentile(latencies_ms_, 0.99);
  journal_.write("finished", {{"calls", report_.calls},
                              {"answered", report_.answered},
                              {"p50_ms", report_.p50_ms},
                              {"p99_ms", report_.p99_ms}});
  co_return report_;
}

awaitable<void> callers::make_call(outgoing_call call) {
  time_point const begin = boot_clock::now();
  attempt_result outcome = attempt_result::try_again;
  for (std::uint32_t number = 0; number < options_.max_attempts; ++number) {
    outcome = co_await attempt(call, number);
    if (outcome != attempt_result::try_again) break;
    co_await wait_for(k_retry_delay);
  }
  std::chrono::duration<double, std::milli> const took = boot_clock::now() - begin;
  if (outcome == attempt_result::answered) {
    latencies_ms_.push_back(took.count());
    ++report_.answered;
  } else {
    ++report_.abandoned;
  }
  --in_flight_;
}

awaitable<callers::attempt_result> callers::attempt(outgoing_call const& call,
                                                    std::uint32_t number) {
  endpoint const node = options_.nodes[(call.number + number) % options_.nodes.size()];
  http::request message(call.at_most_once ? http::verb::post : http::verb::get, call.target, 11);
  message.set("Idempotency-Key", call.key);
  message.body() = call.body;
  auto answer = co_await client_.exchange(node, std::move(message), k_call_timeout);
  if (answer) co_return record_answer(call, number, answer.value());
  bool const refused = answer.error() == http::errc::connect_failed;
  journal_.write("attempt", {{"key", call.key},
                             {"single", call.at_most_once},
                             {"number", number},
                             {"node", node.to_string()},
                             {"status", 0},
                             {"run_state", refused ? "not_run" : "unknown"},
                             {"cut", !refused},
                             {"detail", answer.error().message()}});
  co_return attempt_result::try_again;
}

callers::attempt_result callers::record_answer(outgoing_call const& call, std::uint32_t number,
                                               http::response const& answer) {
  auto const body = parse_json_object(answer.body());
  bool const succeeded = answer.result() == http::status::ok;
  bool const matches =
      !succeeded || (body && echoes_request(*body, call.target, call.key, call.body));
  std::string const state = succeeded ? "ran" : (body ? json_text(*body, "run_state") : "unknown");
  journal_.write("attempt", {{"key", call.key},
                             {"single", call.at_most_once},
                             {"number", number},
                             {"status", answer.result_int()},
                             {"reason", body ? json_text(*body, "title") : ""},
                             {"run_state", state},
                             {"cut", false},
                             {"right", matches}});
  if (succeeded) return attempt_result::answered;
  bool const claimed = answer.result() == http::status::conflict;
  return claimed ? attempt_result::abandon : attempt_result::try_again;
}

}  // namespace frostline::load
