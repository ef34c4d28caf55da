/// @file Scheduling order of a job table with and without the order by due time.

#include <CppUTest/TestHarness.h>

#include <random>
#include <tuple>

#include "jobs/job_table.h"

using namespace frostline;
using namespace frostline::jobs;

namespace {

rpc::JobRecordT make_record(std::string const& id, std::size_t items, std::uint64_t hint) {
  rpc::JobRecordT record;
  record.id = id;
  record.model = "model";
  for (std::size_t index = 0; index < items; ++index) {
    auto item = std::make_unique<rpc::JobItemT>();
    item->id = id + std::to_string(index);
    item->group = "g" + std::to_string(index / 2);
    item->length_hint = hint;
    record.items.push_back(std::move(item));
  }
  return record;
}

}  // namespace

TEST_GROUP(job_table_order_test) {
  job_table table;
  scheduling::run_estimate estimates;
  scheduling::sample_order order{estimates};
  time_point now{std::chrono::hours(1)};

  job_entry& add(std::string const& id, std::size_t items, std::uint64_t hint) {
    CHECK(table.add(make_record(id, items, hint), now));
    job_entry& job = *table.find(id);
    job.policy.due = milliseconds(7500);
    return job;
  }
};

// Guards against a change of the order where the feature is off: the expected key is the one that
// deployments without competing trainers rely on.
TEST(job_table_order_test, order_without_due_times_is_by_priority_progress_age_and_hint) {
  std::mt19937 random(7);
  for (int number = 0; number < 12; ++number) {
    job_entry& job = add("job" + std::to_string(number), 20, 0);
    job.policy.tenant_priority = random() % 2;
    job.policy.priority = random() % 2;
    for (std::uint32_t index = 0; index < job.samples.size(); ++index) {
      job.record.items[index]->length_hint = random() % 4;
      job.samples[index].events = random() % 3 == 0 ? 5 : 0;
      job.samples[index].resubmitted = random() % 4 == 0;
    }
  }
  auto const key_of = [](run_candidate const& candidate) {
    sample_entry const& sample = candidate.job->samples[candidate.index];
    bool const has_not_run = sample.events == 0;
    return std::tuple(candidate.job->policy.tenant_priority, candidate.job->policy.priority,
                      has_not_run && !sample.resubmitted, candidate.job->sequence, has_not_run,
                      -static_cast<std::int64_t>(sample.spec->length_hint), candidate.index);
  };
  auto const candidates = table.runnable(now);
  LONGS_EQUAL(240, candidates.size());
  for (std::size_t place = 1; place < candidates.size(); ++place) {
    CHECK(key_of(candidates[place - 1]) < key_of(candidates[place]));
    CHECK_FALSE(candidates[place].outlook.has_value());
  }
}

// Guards against head-of-line blocking: all samples of the job with long runs start first.
TEST(job_table_order_test, order_by_due_time_starts_long_samples_of_a_newer_job_first) {
  job_entry& older = add("older", 4, 6);
  job_entry& newer = add("newer", 4, 100);
  auto const candidates = table.runnable(now, &order);
  LONGS_EQUAL(8, candidates.size());
  for (std::size_t place = 0; place < 4; ++place) {
    POINTERS_EQUAL(&newer, candidates[place].job);
    POINTERS_EQUAL(&older, candidates[place + 4].job);
  }
  LONGS_EQUAL(7500 - 100 * 50, candidates[0].outlook->slack.count());
  LONGS_EQUAL(100 * 50, candidates[0].outlook->remaining.count());
}

// Guards against samples that are lost from the order: both orders hold the same samples.
TEST(job_table_order_test, samples_that_run_or_must_wait_are_in_neither_order) {
  job_entry& job = add("job", 4, 6);
  table.start(job, 0, "engine", now);
  job.samples[1].not_before = now + milliseconds(1);
  LONGS_EQUAL(2, table.runnable(now).size());
  LONGS_EQUAL(2, table.runnable(now, &order).size());
  table.end("job");
  LONGS_EQUAL(0, table.runnable(now, &order).size());
}

TEST(job_table_order_test, samples_of_complete_groups_make_the_others_dispensable) {
  job_entry& satisfied = add("satisfied", 4, 100);
  satisfied.record.desired = 1;
  for (std::uint32_t index : {0U, 1U}) {
    table.start(satisfied, index, "engine", now);
    table.complete_text(satisfied, index, now);
  }
  job_entry& waiting = add("waiting", 4, 6);
  auto const candidates = table.runnable(now, &order);
  LONGS_EQUAL(6, candidates.size());
  POINTERS_EQUAL(&waiting, candidates[3].job);
  POINTERS_EQUAL(&satisfied, candidates[4].job);
}

// Guards against a late job that yields without limit because its state is lost between
// iterations.
TEST(job_table_order_test, late_job_yields_across_iterations_for_a_bounded_time) {
  job_entry& late = add("late", 2, 6);
  now += seconds(9);
  job_entry& punctual = add("punctual", 2, 6);
  POINTERS_EQUAL(&punctual, table.runnable(now, &order)[0].job);
  now += scheduling::sample_order::k_max_yield;
  POINTERS_EQUAL(&late, table.runnable(now, &order)[0].job);
}
