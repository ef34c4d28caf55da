#include "jobs/sample_scorer.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_scoring_pause{100};
constexpr milliseconds k_scoring_deadline{2000};
/// A call that is kept from the servers leaves its place to others for so long.
constexpr milliseconds k_held_back_pause{1000};
constexpr std::size_t k_fewest_calls = 4;
/// The servers' slots are counted anew after that long.
constexpr milliseconds k_limit_memory{250};

}  // namespace

std::size_t calls_at_once(std::size_t slots) { return std::max(k_fewest_calls, slots * 2 / 3); }

void sample_scorer::start(std::string const& job, std::uint32_t index) {
  queue_.push_back({job, index});
  pump();
}

void sample_scorer::pump() {
  while (!queue_.empty() && under_way_ < limit()) {
    waiting const next = queue_.front();
    queue_.pop_front();
    ++under_way_;
    spawn(dependencies_.context, score(next.job, next.index));
  }
}

sample* sample_scorer::waiting_sample(std::string const& job, std::uint32_t index) {
  auto* const owner = dependencies_.table.find(job);
  if (owner == nullptr || owner->ended) return nullptr;
  sample& one = owner->samples[index];
  return one.state == sample_state::scoring ? &one : nullptr;
}

std::size_t sample_scorer::limit() {
  time_point const now = boot_clock::now();
  if (now < limit_until_) return limit_;
  limit_ = std::max(limit_, k_fewest_calls);
  sample const* one = waiting_sample(queue_.front().job, queue_.front().index);
  auto const table = dependencies_.configuration.table();
  if (one == nullptr || !table) return limit_;
  calls::route const* by = table->match(one->spec->scorer->host, one->spec->scorer->path);
  if (by == nullptr) return limit_;
  limit_until_ = now + k_limit_memory;
  std::size_t slots = 0;
  for (calls::service_share const& share : by->shares) {
    slots += dependencies_.servers.ready_slots(share.service);
  }
  limit_ = calls_at_once(slots);
  return limit_;
}

awaitable<void> sample_scorer::score(std::string job, std::uint32_t index) {
  scoring_step step = co_await score_once(job, index);
  while (step == scoring_step::again) {
    co_await wait_for(with_jitter(k_scoring_pause));
    step = co_await score_once(job, index);
  }
  if (step == scoring_step::later) spawn(dependencies_.context, queue_later(job, index));
  --under_way_;
  pump();
  dependencies_.notify();
}

awaitable<void> sample_scorer::queue_later(std::string job, std::uint32_t index) {
  co_await wait_for(k_held_back_pause);
  start(job, index);
}

awaitable<sample_scorer::scoring_step> sample_scorer::score_once(std::string job,
                                                                 std::uint32_t index) {
  sample const* one = waiting_sample(job, index);
  if (one == nullptr) co_return scoring_step::over;
  if (!dependencies_.may_send_again()) co_return scoring_step::again;
  rpc::ScorerCallT const& call = *one->spec->scorer;
  auto const table = dependencies_.configuration.table();
  calls::route const* by = table ? table->match(call.host, call.path) : nullptr;
  if (by == nullptr) co_return scoring_step::again;
  http::request message(http::verb::post, call.path, 11);
  message.set(http::field::host, call.host);
  message.set(dependencies_.names.request_id, call.id);
  message.body().assign(call.body.begin(), call.body.end());
  std::uint32_t const most_failures = by->max_attempts;
  time_point const deadline = boot_clock::now() + k_scoring_deadline;
  auto const outcome =
      co_await dependencies_.forwarder.call(table, *by, std::move(message), deadline, nullptr);
  sample* const now = waiting_sample(job, index);
  if (now == nullptr) co_return scoring_step::over;
  auto* const owner = dependencies_.table.find(job);
  bool const answered = outcome.reason == calls::call_failure::none;
  std::string const proof(http::header(outcome.answer, dependencies_.names.stamp));
  bool const good = answered && outcome.answer.result_int() / 100 == 2 && !proof.empty();
  log_line(log_level::info, k_part, good ? "Scored." : "Scoring failed.",
           {{"request", now->spec->id},
            {"job", job},
            {"scorer", call.id},
            {"server", outcome.server},
            {"reason", calls::to_string(outcome.reason)},
            {"status", answered ? outcome.answer.result_int() : 0}});
  if (good) {
    ++counters_.scored;
    dependencies_.table.score(*owner, index, proof, boot_clock::now());
    co_return scoring_step::over;
  }
  if (outcome.reason == calls::call_failure::quarantined) co_return scoring_step::later;
  now->scoring_failures += outcome.failed_answers;
  if (now->scoring_failures < most_failures) co_return scoring_step::again;
  ++counters_.dead;
  dependencies_.table.give_up(*owner, index, boot_clock::now());
  co_return scoring_step::over;
}

}  // namespace frostline::jobs
