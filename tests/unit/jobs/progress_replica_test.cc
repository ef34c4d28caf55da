/// @file What a replica holds of an owner's progress, and what its follower takes over.

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

calls::stream_event event_of(std::uint64_t id, std::string const& run = "d") {
  calls::stream_event event;
  event.id = id;
  event.data = run + std::to_string(id);
  return event;
}

}  // namespace

TEST_GROUP(progress_replica_test) {
  job_table owner;
  job_table follower;
  progress_replica replica;
  time_point now{std::chrono::hours(1)};

  void setup() override {
    owner.add(make_record(), now);
    follower.add(make_record(), now);
  }

  rpc::ProgressReportT report(std::uint64_t epoch = 1) {
    rpc::ProgressReportT all;
    all.epoch = epoch;
    all.jobs.push_back("job");
    for (auto& one : owner.take_progress(1 << 20)) {
      all.entries.push_back(std::make_unique<rpc::SampleProgressT>(std::move(one)));
    }
    return all;
  }

  void run_events(std::uint64_t first, std::uint64_t last, std::string const& run = "d") {
    job& held = *owner.find("job");
    sample& one = held.samples[0];
    if (one.state == sample_state::waiting) owner.start(held, 0, "engine", now);
    for (std::uint64_t id = first; id <= last; ++id) {
      owner.take_event(held, one, event_of(id, run), 1, now);
    }
  }

  sample const& follow() {
    for (auto const& progress : replica.of_job("job")) follower.adopt(progress, now);
    return follower.find("job")->samples[0];
  }
};

TEST(progress_replica_test, follower_goes_on_after_the_last_event_reported) {
  run_events(0, 2);
  CHECK(replica.take(report(), now));
  run_events(3, 4);
  CHECK(replica.take(report(), now));
  sample const& one = follow();
  STRCMP_EQUAL("d0\nd1\nd2\nd3\nd4", one.text.c_str());
  LONGS_EQUAL(4, *one.last_event);
  LONGS_EQUAL(1, one.versions.front());
  CHECK(one.state == sample_state::waiting);
}

TEST(progress_replica_test, finished_sample_is_finished_at_the_follower) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner.complete_text(*owner.find("job"), 0, now);
  CHECK(replica.take(report(), now));
  sample const& one = follow();
  CHECK(one.state == sample_state::finished);
  STRCMP_EQUAL("d0\nd1", one.result.text.c_str());
  STRCMP_EQUAL("a", one.result.id.c_str());
}

TEST(progress_replica_test, run_that_began_anew_replaces_what_was_reported) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  owner.restart(owner.find("job")->samples[0], now);
  run_events(0, 0);
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("d0", follow().text.c_str());
}

TEST(progress_replica_test, run_that_began_anew_and_came_further_is_reported_whole) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner.restart(owner.find("job")->samples[0], now);
  run_events(0, 3, "e");
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("e0\ne1\ne2\ne3", follow().text.c_str());
}

TEST(progress_replica_test, run_that_began_anew_and_came_as_far_is_reported) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  owner.restart(owner.find("job")->samples[0], now);
  run_events(0, 1, "e");
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("e0\ne1", follow().text.c_str());
}

// An owner that was killed is the owner again, begins runs anew and reports them; then the former
// replica's offer comes, whose runs came further. The next owner must not get a text of both.
TEST(progress_replica_test, text_taken_over_after_reports_of_another_run_is_reported_whole) {
  run_events(0, 3, "former");
  progress_replica of_former;
  CHECK(of_former.take(report(1), now));
  job_table again;
  again.add(make_record(), now);
  std::swap(owner, again);
  run_events(0, 1, "own");
  CHECK(replica.take(report(2), now));
  for (auto const& progress : of_former.of_job("job")) owner.adopt(progress, now);
  run_events(4, 4, "next");
  CHECK(replica.take(report(2), now));
  STRCMP_EQUAL("former0\nformer1\nformer2\nformer3\nnext4", follow().text.c_str());
}

TEST(progress_replica_test, sample_given_up_after_reports_of_its_text_is_dead_at_the_follower) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  owner.give_up(*owner.find("job"), 0, now);
  CHECK(replica.take(report(), now));
  sample const& one = follow();
  CHECK(one.state == sample_state::finished);
  CHECK(one.result.outcome == rpc::SampleOutcome::DEAD);
  STRCMP_EQUAL("", one.result.text.c_str());
}

TEST(progress_replica_test, late_report_of_a_dropped_run_is_not_joined_to_the_next) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  run_events(2, 2);
  rpc::ProgressReportT late = report();
  owner.restart(owner.find("job")->samples[0], now);
  run_events(0, 1, "e");
  CHECK(replica.take(report(), now));
  CHECK_FALSE(replica.take(std::move(late), now));
  STRCMP_EQUAL("e0\ne1", follow().text.c_str());
}

TEST(progress_replica_test, report_of_a_new_owner_is_not_joined_to_its_forerunners_text) {
  run_events(0, 1);
  CHECK(replica.take(report(1), now));
  run_events(2, 2);
  CHECK_FALSE(replica.take(report(2), now));
  STRCMP_EQUAL("d0\nd1", follow().text.c_str());
}

TEST(progress_replica_test, report_with_a_gap_is_refused_and_the_whole_is_taken) {
  run_events(0, 1);
  report();  // lost on its way
  run_events(2, 3);
  CHECK_FALSE(replica.take(report(), now));
  owner.forget_replicated();
  CHECK(replica.take(report(), now));
  STRCMP_EQUAL("d0\nd1\nd2\nd3", follow().text.c_str());
}

TEST(progress_replica_test, former_owners_report_is_refused) {
  run_events(0, 0);
  CHECK(replica.take(report(5), now));
  run_events(1, 1);
  CHECK_FALSE(replica.take(report(4), now));
}

TEST(progress_replica_test, nothing_new_is_reported_once_it_was) {
  run_events(0, 0);
  LONGS_EQUAL(1, report().entries.size());
  LONGS_EQUAL(0, report().entries.size());
}

TEST(progress_replica_test, run_that_came_further_at_the_former_owner_replaces_the_own) {
  run_events(0, 3);
  CHECK(replica.take(report(), now));
  job& held = *follower.find("job");
  run_key const key = follower.start(held, 0, "engine", now);
  follower.take_event(held, *follower.running(key), event_of(0), 1, now);
  STRCMP_EQUAL("d0\nd1\nd2\nd3", follow().text.c_str());
  POINTERS_EQUAL(nullptr, follower.running(key));
  LONGS_EQUAL(2, follower.runnable(now).size());
}

TEST(progress_replica_test, run_that_came_further_here_or_is_over_stays) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  job& held = *follower.find("job");
  run_key const key = follower.start(held, 0, "engine", now);
  for (std::uint64_t id = 0; id < 4; ++id) {
    follower.take_event(held, *follower.running(key), event_of(id), 1, now);
  }
  follow();
  CHECK(follower.running(key) != nullptr);
  follower.complete_text(held, 0, now);
  STRCMP_EQUAL("d0\nd1\nd2\nd3", follow().result.text.c_str());
}

TEST(progress_replica_test, whole_report_carries_whole_texts) {
  run_events(0, 1);
  CHECK(replica.take(report(), now));
  run_events(2, 2);
  CHECK(replica.take(report(), now));
  auto const whole = replica.whole("pool");
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
  LONGS_EQUAL(0, replica.of_job("job").size());
}
