#include "jobs/sample_scorer.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_scoring_retry_delay{100};
constexpr milliseconds k_scoring_deadline{2000};
/// How long a quarantined call stays out of the queue.
constexpr milliseconds k_quarantine_recheck_interval{1000};
constexpr std::size_t k_min_concurrent_calls = 4;
/// Interval at which the limit is recomputed from the servers' slots.
constexpr milliseconds k_limit_refresh_interval{250};

}  // namespace

std::size_t max_concurrent_calls(std::size_t slots) {
  return std::max(k_min_concurrent_calls, slots * 2 / 3);
}

void sample_scorer::start(std::string const& job_id, std::uint32_t index) {
  queue_.push_back({job_id, index});
  start_queued_calls();
}

void sample_scorer::start_queued_calls() {
  while (!queue_.empty() && in_flight_ < limit()) {
    queued_sample const next = queue_.front();
    queue_.pop_front();
    ++in_flight_;
    spawn(dependencies_.context, score(next.job, next.index));
  }
}

sample_entry* sample_scorer::find_scoring(std::string const& job_id, std::uint32_t index) {
  auto* const job = dependencies_.table.find(job_id);
  if (job == nullptr || job->ended || index >= job->samples.size()) return nullptr;
  sample_entry& sample = job->samples[index];
  return sample.state == sample_state::scoring ? &sample : nullptr;
}

std::size_t sample_scorer::limit() {
  time_point const now = boot_clock::now();
  if (now < limit_valid_until_) return limit_;
  limit_ = std::max(limit_, k_min_concurrent_calls);
  sample_entry const* sample = find_scoring(queue_.front().job, queue_.front().index);
  auto const table = dependencies_.configuration.table();
  if (sample == nullptr || !table) return limit_;
  calls::route const* route = table->match(sample->spec->scorer->host, sample->spec->scorer->path);
  if (route == nullptr) return limit_;
  limit_valid_until_ = now + k_limit_refresh_interval;
  std::size_t slots = 0;
  for (calls::service_share const& share : route->shares) {
    slots += dependencies_.servers.ready_slots(share.service);
  }
  limit_ = max_concurrent_calls(slots);
  return limit_;
}

awaitable<void> sample_scorer::score(std::string job_id, std::uint32_t index) {
  scoring_step step = co_await score_once(job_id, index);
  while (step == scoring_step::retry) {
    co_await wait_for(with_jitter(k_scoring_retry_delay));
    step = co_await score_once(job_id, index);
  }
  if (step == scoring_step::requeue) spawn(dependencies_.context, requeue_later(job_id, index));
  --in_flight_;
  start_queued_calls();
  dependencies_.notify();
}

awaitable<void> sample_scorer::requeue_later(std::string job_id, std::uint32_t index) {
  co_await wait_for(k_quarantine_recheck_interval);
  start(job_id, index);
}

awaitable<sample_scorer::scoring_step> sample_scorer::score_once(std::string job_id,
                                                                 std::uint32_t index) {
  sample_entry const* sample = find_scoring(job_id, index);
  if (sample == nullptr) co_return scoring_step::done;
  if (!dependencies_.may_resend()) co_return scoring_step::retry;
  rpc::ScorerCallT const& call = *sample->spec->scorer;
  auto const table = dependencies_.configuration.table();
  calls::route const* route = table ? table->match(call.host, call.path) : nullptr;
  if (route == nullptr) co_return scoring_step::retry;
  http::request message(http::verb::post, call.path, 11);
  message.set(http::field::host, call.host);
  message.set(dependencies_.names.request_id, call.id);
  message.body().assign(call.body.begin(), call.body.end());
  std::uint32_t const max_failures = route->max_attempts;
  time_point const deadline = boot_clock::now() + k_scoring_deadline;
  auto const outcome =
      co_await dependencies_.forwarder.call(table, *route, std::move(message), deadline, nullptr);
  sample_entry* const current = find_scoring(job_id, index);
  if (current == nullptr) co_return scoring_step::done;
  auto* const job = dependencies_.table.find(job_id);
  bool const answered = outcome.reason == calls::call_failure::none;
  std::string const proof(http::header(outcome.answer, dependencies_.names.stamp));
  bool const succeeded = answered && outcome.answer.result_int() / 100 == 2 && !proof.empty();
  log_line(log_level::info, k_part, succeeded ? "Scored." : "Scoring failed.",
           {{"request", current->spec->id},
            {"job", job_id},
            {"scorer", call.id},
            {"server", outcome.server},
            {"reason", calls::to_string(outcome.reason)},
            {"status", answered ? outcome.answer.result_int() : 0}});
  if (succeeded) {
    ++counters_.scored;
    dependencies_.table.set_score(*job, index, proof, boot_clock::now());
    co_return scoring_step::done;
  }
  if (outcome.reason == calls::call_failure::quarantined) co_return scoring_step::requeue;
  current->scoring_failures += outcome.server_errors;
  if (current->scoring_failures < max_failures) co_return scoring_step::retry;
  ++counters_.dead;
  dependencies_.table.mark_dead(*job, index, boot_clock::now());
  co_return scoring_step::done;
}

}  // namespace frostline::jobs
