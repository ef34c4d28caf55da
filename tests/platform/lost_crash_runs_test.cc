/// @file Guards against lost evidence, when all nodes fail together, of runs other than plain
/// calls: of callers that leave, of streams, and of work that no caller waits for.

#include <atomic>

#include "lost_crash_fixture.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP_BASE(lost_crash_runs_test, lost_crash_fixture){};

// Guards against a caller that leaves before the crash, whose run leaves no broken connection.
TEST(lost_crash_runs_test, bound_holds_for_callers_that_leave_before_simultaneous_crashes) {
  constexpr milliseconds k_patience{40};
  system.on_platform([&] {
    for (std::size_t app = 0; app < system.apps(); ++app) {
      system.app(app).faults().crash_after = milliseconds(60);
    }
    return 0;
  });
  restart_at_simultaneous_crashes([&](std::size_t number) {
    std::size_t const before = crashes();
    system.call_and_disconnect(number % system.nodes(), "/once/x",
                               "deadly-" + std::to_string(number), k_poison_text, k_patience);
    // The crash of a run that was sent comes after its caller has left.
    time_point const limit = boot_clock::now() + k_read_timeout;
    while (crashes() == before && boot_clock::now() < limit) std::this_thread::yield();
  });
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

// Guards against streams, whose runs break off after they have begun.
TEST(lost_crash_runs_test, bound_holds_for_streams_that_crash_engines_at_the_same_time) {
  restart_at_simultaneous_crashes([&](std::size_t number) {
    static_cast<void>(system.call(number % system.nodes(), http::verb::post, "/stream/x",
                                  "deadly-" + std::to_string(number), k_poison_text,
                                  k_read_timeout));
  });
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

// Guards against scorers' calls, which no caller waits for. The sample itself crashes no engine.
TEST(lost_crash_runs_test, bound_holds_for_a_scorers_call_of_a_harmless_sample) {
  kill_nodes_at_third_crash(scored_with_poison("scored"));
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

// Guards against scorers' calls with the same body, which one node makes at the same time.
TEST(lost_crash_runs_test, bound_holds_for_the_same_scorers_call_of_several_jobs) {
  check_bound_for_jobs(scored_with_poison("scored"));
}

// Guards against a sample of several jobs, which one node runs at the same time, that is held back
// because of crashes before all nodes restarted.
TEST(lost_crash_runs_test, same_sample_of_several_jobs_is_completed_in_all_of_them) {
  system.set_crash_text("");
  system.add_crash_budget(k_poison_text, k_crashes_allowed + k_retries_allowed);
  test_item unlucky{"sample", "group"};
  unlucky.prompt = k_poison_text;
  check_bound_for_jobs(unlucky);
  for (char const* job : {"job-1", "job-2", "job-3", "again"}) {
    platform_cluster::wait_until("the sample is completed",
                                 [&] { return is_completed(job, "sample"); });
  }
  LONGS_EQUAL(0, count_records(system, k_quarantine_records));
}

// Guards against refusing harmless requests that ran on a crashing server after such a restart.
TEST(lost_crash_runs_test, call_on_a_server_that_crashes_after_a_restart_is_served) {
  system.set_crash_text("");
  restart_all_nodes();
  system.on_platform([&] {
    for (std::size_t app = 0; app < system.apps(); ++app) {
      system.app(app).faults().work_time = milliseconds(200);
    }
    return 0;
  });
  std::atomic<unsigned> status = 0;
  std::thread caller([&] {
    auto const answer =
        system.call(0, http::verb::post, "/calls/x", "beside", "beside", milliseconds(2000));
    status = answer ? answer.value().result_int() : 0;
  });
  platform_cluster::wait_until("a server runs the call", [&] { return crash_server_of("beside"); });
  caller.join();
  LONGS_EQUAL(200, status);
  platform_cluster::wait_until("the record is gone",
                               [&] { return count_records(system, k_quarantine_records) == 0; });
}
