/// @file Replication of an owner's progress and its adoption by the next owner.

#include "jobs/progress_replica.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

namespace {

rpc::JobRecordT make_record() {
  rpc::JobRecordT record;
  record.id = "job";
  for (char const* id : {"a", "b"}) {
    auto item = std::make_unique<rpc::JobItemT>();
    item->id = id;
    record.items.push_back(std::move(item));
  }
  return record;
}

calls::stream_event make_event(std::uint64_t id, std::string const& run = "d") {
  calls::stream_event event;
  event.id = id;
  event.data = run + std::to_string(id);
  return event;
}

}  // namespace

TEST_GROUP(progress_replica_test) {
  job_table owner_table;
  job_table next_owner_table;
  progress_replica replica;
  time_point now{std::chrono::hours(1)};

  void setup() override {
    owner_table.add(make_record(), now);
    next_owner_table.add(make_record(), now);
  }

  rpc::ProgressReportT report(std::uint64_t epoch = 1) {
    rpc::ProgressReportT all;
    all.epoch = epoch;
    all.jobs.push_back("job");
    for (auto& progress : owner_table.take_progress(1 << 20)) {
      all.entries.push_back(std::make_unique<rpc::SampleProgressT>(std::move(progress)));
    }
    return all;
  }

  void run_events(std::uint64_t first, std::uint64_t last, std::string const& run = "d") {
    job_entry& job = *owner_table.find("job");
    sample_entry& sample = job.samples[0];
    if (sample.state == sample_state::waiting) owner_table.start(job, 0, "engine", now);
    for (std::uint64_t id = first; id <= last; ++id) {
      owner_table.append_event(job, sample, make_event(id, run), 1, now);
    }
  }

  sample_entry const& transfer_to_next_owner() {
    for (auto const& progress : replica.job_progress("job")) next_owner_table.adopt(progress, now);
    return next_owner_table.find("job")->samples[0];
  }
};

TEST(progress_replica_test, next_owner_continues_after_the_last_reported_event) {
  run_events(0, 2);
  CHECK(replica.take(report(), now));
  run_events(3, 4);
  CHECK(replica.take(report(), now));
  sample_entry const& sample = transfer_to_next_owner();
  STRCMP_EQUAL("d0\nd1\nd2\nd3\nd4", sample.text.c_str());
  LONGS_EQUAL(4, *sample.last_event);
  LONGS_EQUAL(1, sample.versions.front());
  CHECK(sample.state == sample_state::waiting);
}

TEST(progress_replica_test, finished_sample_is_finished_at_the_next_owner) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner_table.complete_text(*owner_table.find("job"), 0, now);
  CHECK(replica.take(report(), now));
  sample_entry const& sample = transfer_to_next_owner();
  CHECK(sample.state == sample_state::finished);
  STRCMP_EQUAL("d0\nd1", sample.result.text.c_str());
  STRCMP_EQUAL("a", sample.result.id.c_str());
}

TEST(progress_replica_test, restarted_run_replaces_the_reported_text) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  owner_table.restart(owner_table.find("job")->samples[0], now);
  run_events(0, 0);
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("d0", transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test, restarted_run_with_more_events_is_reported_in_full) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner_table.restart(owner_table.find("job")->samples[0], now);
  run_events(0, 3, "e");
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("e0\ne1\ne2\ne3", transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test, restarted_run_with_as_many_events_is_reported) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner_table.restart(owner_table.find("job")->samples[0], now);
  run_events(0, 1, "e");
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("e0\ne1", transfer_to_next_owner().text.c_str());
}

// A restarted owner adopts a replica's text, which is longer than that of the owner's new run. The
// next owner must not receive a mix of both texts.
TEST(progress_replica_test, text_adopted_after_reports_of_another_run_is_reported_in_full) {
  run_events(0, 3, "previous");
  progress_replica previous_replica;
  CHECK(previous_replica.take(report(1), now));
  job_table restarted_table;
  restarted_table.add(make_record(), now);
  std::swap(owner_table, restarted_table);
  run_events(0, 1, "own");
  CHECK(replica.take(report(2), now));
  for (auto const& progress : previous_replica.job_progress("job"))
    owner_table.adopt(progress, now);
  run_events(4, 4, "next");
  CHECK(replica.take(report(2), now));
  STRCMP_EQUAL("previous0\nprevious1\nprevious2\nprevious3\nnext4",
               transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test,
     sample_marked_dead_after_reports_of_its_text_is_dead_at_the_next_owner) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  owner_table.mark_dead(*owner_table.find("job"), 0, now);
  CHECK(replica.take(report(), now));
  sample_entry const& sample = transfer_to_next_owner();
  CHECK(sample.state == sample_state::finished);
  CHECK(sample.result.outcome == rpc::SampleOutcome::DEAD);
  STRCMP_EQUAL("", sample.result.text.c_str());
}

TEST(progress_replica_test, late_report_of_a_dropped_run_is_rejected) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  run_events(2, 2);
  rpc::ProgressReportT late = report();
  owner_table.restart(owner_table.find("job")->samples[0], now);
  run_events(0, 1, "e");
  CHECK(replica.take(report(), now));
  CHECK_FALSE(replica.take(std::move(late), now));
  STRCMP_EQUAL("e0\ne1", transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test, report_of_a_new_owner_does_not_extend_the_previous_owners_text) {
  run_events(0, 1);
  CHECK(replica.take(report(1), now));
  run_events(2, 2);
  CHECK_FALSE(replica.take(report(2), now));
  STRCMP_EQUAL("d0\nd1", transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test, report_with_a_gap_is_rejected_and_a_full_report_is_applied) {
  run_events(0, 1);
  report();  // not delivered
  run_events(2, 3);
  CHECK_FALSE(replica.take(report(), now));
  owner_table.reset_replicated();
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("d0\nd1\nd2\nd3", transfer_to_next_owner().text.c_str());
}

TEST(progress_replica_test, report_of_the_previous_owner_is_rejected) {
  run_events(0, 0);
  CHECK(replica.take(report(5), now));
  run_events(1, 1);
  CHECK_FALSE(replica.take(report(4), now));
}

TEST(progress_replica_test, reported_progress_is_not_reported_again) {
  run_events(0, 0);
  LONGS_EQUAL(1, report().entries.size());
  LONGS_EQUAL(0, report().entries.size());
}

TEST(progress_replica_test, progress_ahead_of_the_local_run_replaces_it) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  job_entry& job = *next_owner_table.find("job");
  run_key const key = next_owner_table.start(job, 0, "engine", now);
  next_owner_table.append_event(job, *next_owner_table.find_running(key), make_event(0), 1, now);
  STRCMP_EQUAL("d0\nd1\nd2\nd3", transfer_to_next_owner().text.c_str());
  POINTERS_EQUAL(nullptr, next_owner_table.find_running(key));
  LONGS_EQUAL(2, next_owner_table.runnable(now).size());
}

TEST(progress_replica_test, local_run_that_is_ahead_or_complete_is_kept) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  job_entry& job = *next_owner_table.find("job");
  run_key const key = next_owner_table.start(job, 0, "engine", now);
  for (std::uint64_t id = 0; id < 4; ++id) {
    next_owner_table.append_event(job, *next_owner_table.find_running(key), make_event(id), 1, now);
  }
  transfer_to_next_owner();
  CHECK(next_owner_table.find_running(key) != nullptr);
  next_owner_table.complete_text(job, 0, now);
  STRCMP_EQUAL("d0\nd1\nd2\nd3", transfer_to_next_owner().result.text.c_str());
}

TEST(progress_replica_test, full_report_holds_full_texts) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  run_events(2, 2);
  CHECK(replica.take(report(), now));
  auto const whole = replica.full_report("pool");
  CHECK(whole.whole);
  LONGS_EQUAL(1, whole.entries.size());
  LONGS_EQUAL(0, whole.entries[0]->from_bytes);
  STRCMP_EQUAL("d0\nd1\nd2", whole.entries[0]->text.c_str());
}

TEST(progress_replica_test, closed_jobs_are_forgotten) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  rpc::ProgressReportT empty;
  empty.epoch = 1;
  CHECK(replica.take(std::move(empty), now));
  LONGS_EQUAL(0, replica.job_progress("job").size());
}
