/// @file Four trainers with heavy-tailed samples on a fixed number of slots, in the order of
/// acceptance and by due time. Guards against an order that helps one trainer by starving others.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "jobs/job_table.h"

using namespace frostline;
using namespace frostline::jobs;

namespace {

constexpr milliseconds k_event_time{50};
constexpr milliseconds k_due{7500};
constexpr milliseconds k_step_interval{8000};
constexpr int k_steps = 15;
constexpr int k_groups = 20;
constexpr int k_group_size = 8;
constexpr int k_needed_groups = 18;

struct trainer {
  std::string model;
  /// Median number of events of a sample.
  double median = 0;
  time_point next_at;
  int step = 0;
  std::string open_job;
};

struct outcome {
  /// Steps that were complete after their due time.
  int missed = 0;
  milliseconds longest_step{0};
};

/// Makes a step of 20 groups, of which 18 are needed. An item's `tokens` is the length of its run;
/// the order does not read it.
rpc::JobRecordT make_step(trainer const& owner, std::mt19937& random) {
  rpc::JobRecordT record;
  record.id = owner.model + std::to_string(owner.step);
  record.model = owner.model;
  record.desired = k_needed_groups;
  std::lognormal_distribution<double> length(std::log(owner.median), 1.0);
  std::lognormal_distribution<double> error(0.0, 0.4);
  for (int index = 0; index < k_groups * k_group_size; ++index) {
    auto item = std::make_unique<rpc::JobItemT>();
    double const events = std::clamp(length(random), 1.0, 141.0);
    item->id = record.id + "/" + std::to_string(index);
    item->group = std::to_string(index / k_group_size);
    item->generated_limit = 141;
    item->tokens = static_cast<std::uint64_t>(events);
    item->length_hint = static_cast<std::uint64_t>(std::max(1.0, events * error(random)));
    record.items.push_back(std::move(item));
  }
  return record;
}

/// Plays trainers that submit a step at each `k_step_interval`, or later when the previous step is
/// complete.
class play {
 public:
  play(unsigned seed, std::size_t slots, bool by_due_time)
      : random_(seed), slots_(slots), by_due_time_(by_due_time) {}

  outcome run() {
    while (std::any_of(trainers_.begin(), trainers_.end(),
                       [](trainer const& each) { return each.step < k_steps; })) {
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
    rpc::JobRecordT record = make_step(each, random_);
    each.open_job = record.id;
    table_.add(std::move(record), now_);
    table_.find(each.open_job)->policy.due = k_due;
    each.next_at = now_ + k_step_interval;
  }

  void finish_step(trainer& each) {
    job_entry const& job = *table_.find(each.open_job);
    std::vector<int> complete(job.groups);
    for (sample_entry const& sample : job.samples) {
      complete[sample.group] += sample.state == sample_state::finished;
    }
    auto const whole = std::count(complete.begin(), complete.end(), k_group_size);
    if (whole < k_needed_groups) return;
    auto const took = std::chrono::duration_cast<milliseconds>(now_ - job.accepted_at);
    result_.missed += took > k_due;
    result_.longest_step = std::max(result_.longest_step, took);
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

TEST_GROUP(sample_order_load_test) {
  int missed_before = 0;
  int missed_after = 0;
  milliseconds longest_before{0};
  milliseconds longest_after{0};

  void compare(std::size_t slots) {
    for (unsigned const seed : {1U, 2U, 3U, 4U}) {
      outcome const before = play(seed, slots, false).run();
      outcome const after = play(seed, slots, true).run();
      missed_before += before.missed;
      missed_after += after.missed;
      longest_before = std::max(longest_before, before.longest_step);
      longest_after = std::max(longest_after, after.longest_step);
    }
  }
};

// Load: enough slots for all steps, but long samples start late behind short ones.
TEST(sample_order_load_test, all_steps_meet_their_due_time_when_there_are_enough_slots) {
  compare(90);
  CHECK(missed_before > 0);
  LONGS_EQUAL(0, missed_after);
  CHECK(longest_after < longest_before);
}

// Load: about as many slots as the steps need on average, so that some steps are late.
TEST(sample_order_load_test, fewer_steps_miss_their_due_time_when_slots_are_just_enough) {
  compare(60);
  CHECK(missed_after * 2 <= missed_before);
  CHECK(longest_after <= longest_before);
}

// Load: starvation. With fewer slots than needed most steps are late in any order, and no trainer
// may wait for much longer than in the order of acceptance.
TEST(sample_order_load_test, no_trainer_starves_when_slots_are_too_few) {
  compare(45);
  CHECK(missed_after > 0);
  CHECK(longest_after <= longest_before + scheduling::sample_order::k_max_yield);
}
