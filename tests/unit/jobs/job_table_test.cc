/// @file Where the samples of a job stand, and which results are committed when.

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

calls::stream_event event_of(std::uint64_t id) {
  calls::stream_event event;
  event.id = id;
  event.data = "d" + std::to_string(id);
  return event;
}

}  // namespace

TEST_GROUP(job_table_test) {
  job_table table;
  time_point now{std::chrono::hours(1)};

  job& add(std::string const& id, std::size_t items, std::uint64_t desired, bool scored = false) {
    CHECK(table.add(make_record(id, items, desired, scored), now));
    return *table.find(id);
  }

  void complete(job & owner, std::uint32_t index) {
    run_key const key = table.start(owner, index, "engine", now);
    sample* const one = table.running(key);
    CHECK(one != nullptr);
    CHECK(table.take_event(owner, *one, event_of(0), 3, now) == event_result::taken);
    table.complete_text(owner, index, now);
  }
};

TEST(job_table_test, job_is_added_once) {
  add("job", 2, 1);
  CHECK_FALSE(table.add(make_record("job", 5, 1), now));
  LONGS_EQUAL(2, table.find("job")->samples.size());
}

TEST(job_table_test, urgent_routes_go_first_then_older_jobs_then_longer_runs) {
  job& first = add("first", 2, 1);
  job& second = add("second", 2, 1);
  job& urgent = add("urgent", 2, 1);
  first.terms.priority = 1;
  second.terms.priority = 1;
  urgent.terms.priority = 0;
  auto const order = table.runnable(now);
  LONGS_EQUAL(6, order.size());
  POINTERS_EQUAL(&urgent, order[0].owner);
  LONGS_EQUAL(1, order[0].index);
  POINTERS_EQUAL(&first, order[2].owner);
  POINTERS_EQUAL(&second, order[5].owner);
  LONGS_EQUAL(0, order[5].index);
}

TEST(job_table_test, events_join_by_their_identifiers) {
  job& owner = add("job", 1, 1);
  run_key const key = table.start(owner, 0, "engine", now);
  sample& one = *table.running(key);
  CHECK(table.take_event(owner, one, event_of(0), 3, now) == event_result::taken);
  CHECK(table.take_event(owner, one, event_of(0), 3, now) == event_result::repeated);
  CHECK(table.take_event(owner, one, event_of(2), 3, now) == event_result::out_of_order);
  CHECK(table.take_event(owner, one, event_of(1), 4, now) == event_result::taken);
  STRCMP_EQUAL("d0\nd1", one.text.c_str());
  LONGS_EQUAL(2, one.versions.size());
}

TEST(job_table_test, event_of_an_older_version_than_allowed_is_not_taken) {
  job& owner = add("job", 1, 1);
  sample& one = *table.running(table.start(owner, 0, "engine", now));
  CHECK(table.take_event(owner, one, event_of(0), 2, now) == event_result::too_old);
  LONGS_EQUAL(0, one.events);
}

TEST(job_table_test, single_version_job_takes_events_of_one_version_only) {
  job& owner = add("job", 1, 1);
  owner.terms.single_version = true;
  sample& one = *table.running(table.start(owner, 0, "engine", now));
  CHECK(table.take_event(owner, one, event_of(0), 3, now) == event_result::taken);
  CHECK(table.take_event(owner, one, event_of(1), 4, now) == event_result::mixed_versions);
  table.restart(one, now);
  LONGS_EQUAL(0, one.events);
  CHECK(one.versions.empty());
}

TEST(job_table_test, requeued_run_goes_on_from_what_it_has_and_its_former_run_is_ignored) {
  job& owner = add("job", 1, 1);
  run_key const former = table.start(owner, 0, "engine", now);
  sample& one = *table.running(former);
  table.take_event(owner, one, event_of(0), 3, now);
  table.requeue(one, now);
  POINTERS_EQUAL(nullptr, table.running(former));
  LONGS_EQUAL(1, table.runnable(now).size());
  LONGS_EQUAL(1, one.events);
}

TEST(job_table_test, results_wait_for_each_other_until_enough_groups_are_whole) {
  job& owner = add("job", 6, 2);
  complete(owner, 0);
  complete(owner, 1);
  CHECK_FALSE(table.next_batch(owner, now, k_limit).has_value());
  complete(owner, 2);
  complete(owner, 3);
  auto const batch = table.next_batch(owner, now, k_limit);
  CHECK(batch.has_value());
  LONGS_EQUAL(4, batch->results.size());
  LONGS_EQUAL(0, batch->first);
  CHECK_FALSE(table.next_batch(owner, now, k_limit).has_value());
  table.confirm(owner);
  LONGS_EQUAL(4, owner.listed.size());
}

TEST(job_table_test, results_that_complete_nothing_are_committed_after_a_while) {
  job& owner = add("job", 6, 3);
  complete(owner, 0);
  CHECK_FALSE(table.next_batch(owner, now, k_limit).has_value());
  CHECK(table.next_batch(owner, now + seconds(1), k_limit).has_value());
}

TEST(job_table_test, abandoned_batch_is_made_again_at_the_same_positions) {
  job& owner = add("job", 2, 1);
  complete(owner, 0);
  complete(owner, 1);
  auto const first = table.next_batch(owner, now, k_limit);
  table.abandon_batch(owner);
  auto const second = table.next_batch(owner, now, k_limit);
  LONGS_EQUAL(first->first, second->first);
  STRCMP_EQUAL(first->results[0]->id.c_str(), second->results[0]->id.c_str());
}

TEST(job_table_test, batch_is_bounded_in_bytes) {
  job& owner = add("job", 4, 2);
  for (std::uint32_t index = 0; index < 4; ++index) complete(owner, index);
  auto const batch = table.next_batch(owner, now, 150);
  CHECK(batch.has_value());
  CHECK(batch->results.size() < 4);
}

TEST(job_table_test, restored_results_keep_their_positions_and_end_their_runs) {
  job& owner = add("job", 3, 3);
  run_key const running = table.start(owner, 2, "engine", now);
  rpc::ResultBatchT batch;
  batch.job = "job";
  for (char const* id : {"job2", "job0"}) {
    auto result = std::make_unique<rpc::SampleResultT>();
    result->id = id;
    batch.results.push_back(std::move(result));
  }
  table.restore(std::move(batch));
  LONGS_EQUAL(2, owner.listed.size());
  LONGS_EQUAL(2, owner.listed[0]);
  LONGS_EQUAL(0, owner.listed[1]);
  POINTERS_EQUAL(nullptr, table.running(running));
}

TEST(job_table_test, restored_batch_with_a_gap_before_it_is_not_taken) {
  job& owner = add("job", 3, 3);
  rpc::ResultBatchT batch;
  batch.job = "job";
  batch.first = 1;
  batch.results.push_back(std::make_unique<rpc::SampleResultT>());
  batch.results.back()->id = "job1";
  table.restore(std::move(batch));
  LONGS_EQUAL(0, owner.listed.size());
}

TEST(job_table_test, ended_job_runs_and_commits_nothing) {
  job& owner = add("job", 2, 1);
  run_key const running = table.start(owner, 0, "engine", now);
  complete(owner, 1);
  CHECK(table.end("job"));
  POINTERS_EQUAL(nullptr, table.running(running));
  LONGS_EQUAL(0, table.runnable(now).size());
  CHECK_FALSE(table.next_batch(owner, now + seconds(5), k_limit).has_value());
  CHECK_FALSE(table.end("unknown"));
}

TEST(job_table_test, samples_are_dead_when_their_job_waited_for_too_long) {
  job& owner = add("job", 2, 2);
  owner.terms.max_queue = seconds(40);
  table.expire(now + seconds(39));
  LONGS_EQUAL(0, owner.unlisted.size());
  table.expire(now + seconds(41));
  LONGS_EQUAL(2, owner.unlisted.size());
  CHECK(owner.samples[0].result.outcome == rpc::SampleOutcome::DEAD);
}

TEST(job_table_test, scored_sample_is_finished_only_with_its_score) {
  job& owner = add("job", 1, 1, true);
  run_key const key = table.start(owner, 0, "engine", now);
  table.take_event(owner, *table.running(key), event_of(0), 3, now);
  CHECK(table.complete_text(owner, 0, now));
  CHECK_FALSE(table.next_batch(owner, now + seconds(5), k_limit).has_value());
  table.score(owner, 0, "proof", now);
  auto const batch = table.next_batch(owner, now, k_limit);
  STRCMP_EQUAL("proof", batch->results[0]->score.c_str());
}

TEST(job_table_test, results_whose_commit_was_under_way_at_the_end_are_listed) {
  job& owner = add("job", 3, 1);
  complete(owner, 0);
  complete(owner, 1);
  CHECK(table.next_batch(owner, time_point::max(), k_limit).has_value());
  complete(owner, 2);
  table.end("job");
  table.confirm(owner);
  LONGS_EQUAL(2, owner.listed.size());
  LONGS_EQUAL(0, owner.unlisted.size());
}

TEST(job_table_test, items_that_an_ended_job_lacks_go_first_when_they_come_again) {
  job& first = add("first", 2, 1);
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

TEST(job_table_test, what_a_forgotten_job_lacks_is_forgotten) {
  add("first", 1, 1);
  table.end("first");
  table.forget("first");
  rpc::JobRecordT record = make_record("second", 2, 1);
  record.items[0]->id = "first0";
  CHECK(table.add(std::move(record), now));
  LONGS_EQUAL(1, table.runnable(now)[0].index);
}

TEST(job_table_test, checkpoint_holds_what_is_new_of_long_runs) {
  job& owner = add("job", 3, 1);
  milliseconds const age{1000};
  for (std::uint32_t index : {0U, 1U}) {
    run_key const key = table.start(owner, index, "engine", now);
    time_point const begun = index == 0 ? now : now + milliseconds(500);
    table.take_event(owner, *table.running(key), event_of(0), 3, begun);
  }
  auto const reports = table.take_checkpoint(now + age, age, k_limit);
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(1, reports[0].entries.size());
  STRCMP_EQUAL("d0", reports[0].entries[0]->text.c_str());
  LONGS_EQUAL(0, table.take_checkpoint(now + age, age, k_limit).size());
  table.take_event(owner, owner.samples[0], event_of(1), 3, now + age);
  auto const next = table.take_checkpoint(now + age, age, k_limit);
  LONGS_EQUAL(2, next[0].entries[0]->from_bytes);
  STRCMP_EQUAL("\nd1", next[0].entries[0]->text.c_str());
  table.forget_checkpoints();
  auto const whole = table.take_checkpoint(now + age, age, k_limit);
  STRCMP_EQUAL("d0\nd1", whole[0].entries[0]->text.c_str());
}

TEST(job_table_test, checkpoint_leaves_finished_samples_and_ended_jobs_out) {
  job& owner = add("job", 2, 2);
  complete(owner, 0);
  run_key const key = table.start(owner, 1, "engine", now);
  table.take_event(owner, *table.running(key), event_of(0), 3, now);
  table.end("job");
  LONGS_EQUAL(0, table.take_checkpoint(now, milliseconds(0), k_limit).size());
}

TEST(job_table_test, run_is_expected_to_take_some_times_its_guess_of_memory) {
  rpc::JobItemT item;
  item.tokens = 1000;
  LONGS_EQUAL(1000, expected_tokens(item));
  item.generated_limit = 900;
  item.length_hint = 100;
  LONGS_EQUAL(300, expected_tokens(item));
  item.length_hint = 800;
  LONGS_EQUAL(1000, expected_tokens(item));
}

TEST(job_table_test, time_of_the_sample_that_a_job_waited_for_is_told) {
  job& owner = add("job", 2, 1, true);
  CHECK_FALSE(times_of_last_sample(owner).has_value());
  time_point const accepted = now;
  for (std::uint32_t index : {0U, 1U}) {
    now = accepted + milliseconds(100 * (index + 1));
    run_key const key = table.start(owner, index, "engine", now);
    table.take_event(owner, *table.running(key), event_of(0), 3, now);
    table.complete_text(owner, index, now + milliseconds(30));
    table.score(owner, index, "proof", now + milliseconds(50));
  }
  CHECK(table.next_batch(owner, now, k_limit).has_value());
  table.confirm(owner);
  auto const times = times_of_last_sample(owner);
  LONGS_EQUAL(1, times->index);
  LONGS_EQUAL(200, times->waited.count());
  LONGS_EQUAL(30, times->ran.count());
  LONGS_EQUAL(20, times->scored.count());
}
