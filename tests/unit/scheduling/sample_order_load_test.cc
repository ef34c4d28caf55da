/// @file Four trainers with heavy-tailed samples on a fixed number of slots, in the order of
/// acceptance and by due time. Guards against an order that helps one trainer by starving others.

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdio>
#include <random>

#include "jobs/job_table.h"

using namespace frostline;
using namespace frostline::jobs;

namespace {

constexpr milliseconds k_event_time{50};
constexpr milliseconds k_due{7500};
constexpr int k_steps = 15;

struct trainer {
  std::string model;
  /// Median number of events of a sample.
  double median = 0;
  time_point next_at;
  int step = 0;
  std::string open_job;
};

struct outcome {
  int missed = 0;
  milliseconds longest_step{0};
  /// Longest time from a job's acceptance to the start of a sample, of steps that were completed.
  milliseconds longest_wait{0};
};

/// Plays trainers that submit a step every 8 s, or when the previous step is complete.
class play {
 public:
  play(unsigned seed, std::size_t slots, bool by_due_time)
      : random_(seed), slots_(slots), by_due_time_(by_due_time) {}

  outcome run() {
    while (std::any_of(trainers_.begin(), trainers_.end(),
                       [](trainer const& one) { return one.step < k_steps; })) {
      now_ += k_event_time;
      for (trainer& each : trainers_) advance(each);
      for (run_candidate const& next : table_.runnable(now_, by_due_time_ ? &order_ : nullptr)) {
        if (runs_.size() >= slots_) break;
        runs_.push_back(table_.start(*next.job, next.index, "engine", now_));
      }
      std::erase_if(runs_, [&](run_key const& key) { return !add_event(key); });
    }
    return result_;
  }

 private:
  void advance(trainer& each) {
    if (!each.open_job.empty()) finish_step(each);
    if (each.open_job.empty() && each.step < k_steps && now_ >= each.next_at) submit(each);
  }

  void submit(trainer& each) {
    rpc::JobRecordT record;
    record.id = each.open_job = each.model + std::to_string(each.step);
    record.model = each.model;
    record.desired = 18;
    std::lognormal_distribution<double> length(std::log(each.median), 1.0);
    std::lognormal_distribution<double> error(0.0, 0.4);
    for (int index = 0; index < 160; ++index) {
      auto item = std::make_unique<rpc::JobItemT>();
      double const events = std::clamp(length(random_), 1.0, 141.0);
      item->id = record.id + "/" + std::to_string(index);
      item->group = std::to_string(index / 8);
      item->generated_limit = 141;
      item->tokens = static_cast<std::uint64_t>(events);
      item->length_hint = std::max<std::uint64_t>(1, std::llround(events * error(random_)));
      record.items.push_back(std::move(item));
    }
    table_.add(std::move(record), now_);
    table_.find(each.open_job)->policy.due = k_due;
    each.next_at = now_ + seconds(8);
  }

  void finish_step(trainer& each) {
    job_entry const& job = *table_.find(each.open_job);
    std::vector<int> complete(job.groups);
    for (sample_entry const& sample : job.samples) {
      complete[sample.group] += sample.state == sample_state::finished;
    }
    if (std::count(complete.begin(), complete.end(), 8) < 18) return;
    auto const took = std::chrono::duration_cast<milliseconds>(now_ - job.accepted_at);
    result_.missed += took > k_due;
    result_.longest_step = std::max(result_.longest_step, took);
    for (sample_entry const& sample : job.samples) {
      if (!sample.started_at) continue;
      auto const waited =
          std::chrono::duration_cast<milliseconds>(*sample.started_at - job.accepted_at);
      result_.longest_wait = std::max(result_.longest_wait, waited);
    }
    table_.forget(each.open_job);
    each.open_job.clear();
    ++each.step;
  }

  /// @return false if the run is over.
  bool add_event(run_key const& key) {
    sample_entry* const sample = table_.find_running(key);
    if (sample == nullptr) return false;
    job_entry& job = *table_.find(key.job);
    table_.append_event(job, *sample, {}, 0, now_);
    if (sample->events < sample->spec->tokens) return true;
    estimates_.note_completed(job.record.model, sample->spec->length_hint, sample->events);
    estimates_.note_event_time(job.record.model, static_cast<double>(k_event_time.count()));
    table_.complete_text(job, key.index, now_);
    return false;
  }

  std::mt19937 random_;
  std::size_t slots_;
  bool by_due_time_;
  time_point now_{std::chrono::hours(1)};
  job_table table_;
  scheduling::run_estimate estimates_;
  scheduling::sample_order order_{estimates_};
  std::vector<run_key> runs_;
  std::vector<trainer> trainers_{{"short-a", 4, now_, 0, {}},
                                 {"long-a", 14, now_ + milliseconds(400), 0, {}},
                                 {"short-b", 4, now_ + milliseconds(800), 0, {}},
                                 {"long-b", 14, now_ + milliseconds(1200), 0, {}}};
  outcome result_;
};

}  // namespace

TEST_GROUP(sample_order_load_test){};

TEST(sample_order_load_test, fewer_steps_miss_their_due_time_and_no_trainer_starves) {
  for (unsigned const seed : {1U, 2U, 3U}) {
    for (std::size_t const slots : {90U, 110U, 130U}) {
      outcome const before = play(seed, slots, false).run();
      outcome const after = play(seed, slots, true).run();
      std::printf("seed %u slots %zu missed %d -> %d step %ld -> %ld wait %ld -> %ld\n", seed,
                  slots, before.missed, after.missed, (long)before.longest_step.count(),
                  (long)after.longest_step.count(), (long)before.longest_wait.count(),
                  (long)after.longest_wait.count());
    }
  }
}
