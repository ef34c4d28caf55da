/// @file States of a job's samples, scheduling order, and the commits of results.

#include "jobs/job_table.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

namespace {

constexpr std::size_t k_limit = 1 << 20;

rpc::JobRecordT make_record(std::string const& id, std::size_t items, std::uint64_t desired,
                            bool scored = false) {
  rpc::JobRecordT record;
  record.id = id;
  record.min_version = 3;
  record.desired = desired;
  for (std::size_t index = 0; index < items; ++index) {
    auto item = std::make_unique<rpc::JobItemT>();
    item->id = id + std::to_string(index);
    item->group = "g" + std::to_string(index / 2);
    item->length_hint = index;
    if (scored) item->scorer = std::make_unique<rpc::ScorerCallT>();
    record.items.push_back(std::move(item));
  }
  return record;
}

calls::stream_event make_event(std::uint64_t id) {
  calls::stream_event event;
  event.id = id;
  event.data = "d" + std::to_string(id);
  return event;
}

}  // namespace

TEST_GROUP(job_table_test) {
  job_table table;
  time_point now{std::chrono::hours(1)};

  job_entry& add(std::string const& id, std::size_t items, std::uint64_t desired,
                 bool scored = false) {
    CHECK(table.add(make_record(id, items, desired, scored), now));
    return *table.find(id);
  }

  void complete(job_entry & job, std::uint32_t index) {
    run_key const key = table.start(job, index, "engine", now);
    sample_entry* const sample = table.find_running(key);
    CHECK(sample != nullptr);
    CHECK(table.append_event(job, *sample, make_event(0), 3, now) == event_result::accepted);
    table.complete_text(job, index, now);
  }
};

TEST(job_table_test, duplicate_job_is_rejected) {
  add("job", 2, 1);
  CHECK_FALSE(table.add(make_record("job", 5, 1), now));
  LONGS_EQUAL(2, table.find("job")->samples.size());
}

// Guards against jobs that are refused for the memory of those that have ended, which are kept for
// minutes.
TEST(job_table_test, memory_of_ended_jobs_is_not_counted) {
  LONGS_EQUAL(0, table.open_bytes());
  add("job", 2, 1);
  CHECK(table.open_bytes() > 0);
  table.end("job");
  LONGS_EQUAL(0, table.open_bytes());
}

TEST(job_table_test, samples_are_ordered_by_route_priority_job_age_and_expected_length) {
  job_entry& first = add("first", 2, 1);
  job_entry& second = add("second", 2, 1);
  job_entry& urgent = add("urgent", 2, 1);
  first.policy.priority = 1;
  second.policy.priority = 1;
  urgent.policy.priority = 0;
  auto const order = table.runnable(now);
  LONGS_EQUAL(6, order.size());
  POINTERS_EQUAL(&urgent, order[0].job);
  LONGS_EQUAL(1, order[0].index);
  POINTERS_EQUAL(&first, order[2].job);
  POINTERS_EQUAL(&second, order[5].job);
  LONGS_EQUAL(0, order[5].index);
}

TEST(job_table_test, events_are_joined_in_order_of_their_identifiers) {
  job_entry& job = add("job", 1, 1);
  run_key const key = table.start(job, 0, "engine", now);
  sample_entry& sample = *table.find_running(key);
  CHECK(table.append_event(job, sample, make_event(0), 3, now) == event_result::accepted);
  CHECK(table.append_event(job, sample, make_event(0), 3, now) == event_result::duplicate);
  CHECK(table.append_event(job, sample, make_event(2), 3, now) == event_result::out_of_order);
  CHECK(table.append_event(job, sample, make_event(1), 4, now) == event_result::accepted);
  STRCMP_EQUAL("d0\nd1", sample.text.c_str());
  LONGS_EQUAL(2, sample.versions.size());
}

TEST(job_table_test, event_of_too_old_version_is_rejected) {
  job_entry& job = add("job", 1, 1);
  sample_entry& sample = *table.find_running(table.start(job, 0, "engine", now));
  CHECK(table.append_event(job, sample, make_event(0), 2, now) == event_result::too_old);
  LONGS_EQUAL(0, sample.events);
}

TEST(job_table_test, single_version_job_rejects_events_of_another_version) {
  job_entry& job = add("job", 1, 1);
  job.policy.single_version = true;
  sample_entry& sample = *table.find_running(table.start(job, 0, "engine", now));
  CHECK(table.append_event(job, sample, make_event(0), 3, now) == event_result::accepted);
  CHECK(table.append_event(job, sample, make_event(1), 4, now) == event_result::mixed_versions);
  table.restart(sample, now);
  LONGS_EQUAL(0, sample.events);
  CHECK(sample.versions.empty());
}

TEST(job_table_test, requeued_sample_keeps_its_text_and_invalidates_the_previous_run) {
  job_entry& job = add("job", 1, 1);
  run_key const previous = table.start(job, 0, "engine", now);
  sample_entry& sample = *table.find_running(previous);
  table.append_event(job, sample, make_event(0), 3, now);
  table.requeue(sample, now);
  POINTERS_EQUAL(nullptr, table.find_running(previous));
  LONGS_EQUAL(1, table.runnable(now).size());
  LONGS_EQUAL(1, sample.events);
}

TEST(job_table_test, results_are_committed_once_enough_groups_are_complete) {
  job_entry& job = add("job", 6, 2);
  complete(job, 0);
  complete(job, 1);
  CHECK_FALSE(table.next_batch(job, now, k_limit).has_value());
  complete(job, 2);
  complete(job, 3);
  auto const batch = table.next_batch(job, now, k_limit);
  CHECK(batch.has_value());
  LONGS_EQUAL(4, batch->results.size());
  LONGS_EQUAL(0, batch->first);
  CHECK_FALSE(table.next_batch(job, now, k_limit).has_value());
  table.confirm_batch(job);
  LONGS_EQUAL(4, job.listed.size());
}

TEST(job_table_test, results_of_incomplete_groups_are_committed_after_the_interval) {
  job_entry& job = add("job", 6, 3);
  complete(job, 0);
  CHECK_FALSE(table.next_batch(job, now, k_limit).has_value());
  CHECK(table.next_batch(job, now + seconds(1), k_limit).has_value());
}

TEST(job_table_test, abandoned_batch_is_rebuilt_at_the_same_positions) {
  job_entry& job = add("job", 2, 1);
  complete(job, 0);
  complete(job, 1);
  auto const first = table.next_batch(job, now, k_limit);
  table.abandon_batch(job);
  auto const second = table.next_batch(job, now, k_limit);
  LONGS_EQUAL(first->first, second->first);
  STRCMP_EQUAL(first->results[0]->id.c_str(), second->results[0]->id.c_str());
}

TEST(job_table_test, batch_size_is_limited) {
  job_entry& job = add("job", 4, 2);
  for (std::uint32_t index = 0; index < 4; ++index) complete(job, index);
  auto const batch = table.next_batch(job, now, 150);
  CHECK(batch.has_value());
  CHECK(batch->results.size() < 4);
}

TEST(job_table_test, restored_results_keep_their_positions_and_invalidate_runs) {
  job_entry& job = add("job", 3, 3);
  run_key const running = table.start(job, 2, "engine", now);
  rpc::ResultBatchT batch;
  batch.job = "job";
  for (char const* id : {"job2", "job0"}) {
    auto result = std::make_unique<rpc::SampleResultT>();
    result->id = id;
    batch.results.push_back(std::move(result));
  }
  table.restore_results(std::move(batch));
  LONGS_EQUAL(2, job.listed.size());
  LONGS_EQUAL(2, job.listed[0]);
  LONGS_EQUAL(0, job.listed[1]);
  POINTERS_EQUAL(nullptr, table.find_running(running));
}

TEST(job_table_test, restored_batch_after_a_gap_is_ignored) {
  job_entry& job = add("job", 3, 3);
  rpc::ResultBatchT batch;
  batch.job = "job";
  batch.first = 1;
  batch.results.push_back(std::make_unique<rpc::SampleResultT>());
  batch.results.back()->id = "job1";
  table.restore_results(std::move(batch));
  LONGS_EQUAL(0, job.listed.size());
}

TEST(job_table_test, ended_job_starts_no_runs_and_commits_nothing) {
  job_entry& job = add("job", 2, 1);
  run_key const running = table.start(job, 0, "engine", now);
  complete(job, 1);
  CHECK(table.end("job"));
  POINTERS_EQUAL(nullptr, table.find_running(running));
  LONGS_EQUAL(0, table.runnable(now).size());
  CHECK_FALSE(table.next_batch(job, now + seconds(5), k_limit).has_value());
  CHECK_FALSE(table.end("unknown"));
}

TEST(job_table_test, samples_are_marked_dead_when_their_job_exceeds_max_queue) {
  job_entry& job = add("job", 2, 2);
  job.policy.max_queue = seconds(40);
  table.expire(now + seconds(39));
  LONGS_EQUAL(0, job.unlisted.size());
  table.expire(now + seconds(41));
  LONGS_EQUAL(2, job.unlisted.size());
  CHECK(job.samples[0].result.outcome == rpc::SampleOutcome::DEAD);
}

TEST(job_table_test, sample_with_a_scorer_finishes_only_when_scored) {
  job_entry& job = add("job", 1, 1, true);
  run_key const key = table.start(job, 0, "engine", now);
  table.append_event(job, *table.find_running(key), make_event(0), 3, now);
  CHECK(table.complete_text(job, 0, now));
  CHECK_FALSE(table.next_batch(job, now + seconds(5), k_limit).has_value());
  table.set_score(job, 0, "proof", now);
  auto const batch = table.next_batch(job, now, k_limit);
  STRCMP_EQUAL("proof", batch->results[0]->score.c_str());
}

TEST(job_table_test, in_flight_commit_is_listed_after_the_job_ends) {
  job_entry& job = add("job", 3, 1);
  complete(job, 0);
  complete(job, 1);
  CHECK(table.next_batch(job, time_point::max(), k_limit).has_value());
  complete(job, 2);
  table.end("job");
  table.confirm_batch(job);
  LONGS_EQUAL(2, job.listed.size());
  LONGS_EQUAL(0, job.unlisted.size());
}

TEST(job_table_test, resubmitted_unfinished_items_are_scheduled_first) {
  job_entry& first = add("first", 2, 1);
  complete(first, 0);
  table.end("first");
  rpc::JobRecordT record = make_record("second", 3, 1);
  record.items[0]->id = "first1";
  CHECK(table.add(std::move(record), now));
  auto const next = table.runnable(now);
  LONGS_EQUAL(3, next.size());
  LONGS_EQUAL(0, next[0].index);
  LONGS_EQUAL(2, next[1].index);
}

TEST(job_table_test, unfinished_items_of_a_forgotten_job_get_no_precedence) {
  add("first", 1, 1);
  table.end("first");
  table.forget("first");
  rpc::JobRecordT record = make_record("second", 2, 1);
  record.items[0]->id = "first0";
  CHECK(table.add(std::move(record), now));
  LONGS_EQUAL(1, table.runnable(now)[0].index);
}

TEST(job_table_test, checkpoint_holds_changes_of_long_runs) {
  job_entry& job = add("job", 3, 1);
  milliseconds const age{1000};
  for (std::uint32_t index : {0U, 1U}) {
    run_key const key = table.start(job, index, "engine", now);
    time_point const begun = index == 0 ? now : now + milliseconds(500);
    table.append_event(job, *table.find_running(key), make_event(0), 3, begun);
  }
  auto const reports = table.take_checkpoint(now + age, age, k_limit);
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(1, reports[0].entries.size());
  STRCMP_EQUAL("d0", reports[0].entries[0]->text.c_str());
  LONGS_EQUAL(0, table.take_checkpoint(now + age, age, k_limit).size());
  table.append_event(job, job.samples[0], make_event(1), 3, now + age);
  auto const next = table.take_checkpoint(now + age, age, k_limit);
  LONGS_EQUAL(2, next[0].entries[0]->from_bytes);
  STRCMP_EQUAL("\nd1", next[0].entries[0]->text.c_str());
  table.reset_checkpoints();
  auto const whole = table.take_checkpoint(now + age, age, k_limit);
  STRCMP_EQUAL("d0\nd1", whole[0].entries[0]->text.c_str());
}

TEST(job_table_test, checkpoint_excludes_finished_samples_and_ended_jobs) {
  job_entry& job = add("job", 2, 2);
  complete(job, 0);
  run_key const key = table.start(job, 1, "engine", now);
  table.append_event(job, *table.find_running(key), make_event(0), 3, now);
  table.end("job");
  LONGS_EQUAL(0, table.take_checkpoint(now, milliseconds(0), k_limit).size());
}

TEST(job_table_test, expected_tokens_are_a_multiple_of_the_length_hint_within_limits) {
  rpc::JobItemT item;
  item.tokens = 1000;
  LONGS_EQUAL(1000, expected_tokens(item));
  item.generated_limit = 900;
  item.length_hint = 100;
  LONGS_EQUAL(300, expected_tokens(item));
  item.length_hint = 800;
  LONGS_EQUAL(1000, expected_tokens(item));
}

TEST(job_table_test, phase_times_of_the_last_finished_sample_are_reported) {
  job_entry& job = add("job", 2, 1, true);
  CHECK_FALSE(last_sample_times(job).has_value());
  time_point const accepted = now;
  for (std::uint32_t index : {0U, 1U}) {
    now = accepted + milliseconds(100 * (index + 1));
    run_key const key = table.start(job, index, "engine", now);
    table.append_event(job, *table.find_running(key), make_event(0), 3, now);
    table.complete_text(job, index, now + milliseconds(30));
    table.set_score(job, index, "proof", now + milliseconds(50));
  }
  CHECK(table.next_batch(job, now, k_limit).has_value());
  table.confirm_batch(job);
  auto const times = last_sample_times(job);
  LONGS_EQUAL(1, times->index);
  LONGS_EQUAL(200, times->waited.count());
  LONGS_EQUAL(30, times->ran.count());
  LONGS_EQUAL(20, times->scored.count());
}

// Guards against reading behind the samples of a job that was submitted again with fewer items
// while a run of its first submission was open.
TEST(job_table_test, run_of_an_earlier_and_longer_submission_is_not_found) {
  job_entry& first = add("job", 3, 1);
  run_key const key = table.start(first, 2, "engine", now);
  table.forget("job");
  add("job", 1, 1);
  CHECK(table.find_running(key) == nullptr);
}
