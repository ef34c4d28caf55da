/// @file An owner that was frozen for longer than its lease must send nothing for jobs that ended
/// meanwhile.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::size_t k_items = 24;
/// Time after the acknowledged end of a job in which its items may still reach an engine.
constexpr milliseconds k_cancel_time{3000};

}  // namespace

TEST_GROUP(frozen_owner_test) {
  platform_cluster system{platform_options()};

  std::vector<test_item> make_items(std::string const& job, std::size_t count) {
    std::vector<test_item> items;
    for (std::size_t index = 0; index < count; ++index) {
      items.push_back({job + "-" + std::to_string(index), "group"});
    }
    return items;
  }

  /// Freezes the owner until another owner has ended the job and the time for its last arrivals has
  /// passed. @return the frozen node's index.
  std::size_t freeze_until_job_is_over() {
    std::size_t const frozen = system.owner();
    std::size_t const other = (frozen + 1) % system.nodes();
    system.node(frozen).send_signal(SIGSTOP);
    platform_cluster::wait_until("the job is ended by another owner",
                                 [&] { return system.end_job(other, "job") == 200; });
    time_point const over = boot_clock::now() + k_cancel_time;
    platform_cluster::wait_until("nothing may arrive any more",
                                 [&] { return boot_clock::now() > over; });
    return frozen;
  }

  /// Resumes the node and waits until it has learned of its successor and serves requests.
  void resume_owner(std::size_t frozen) {
    system.node(frozen).send_signal(SIGCONT);
    platform_cluster::wait_until("the owner knows that it is none any more", [&] {
      return system.log(frozen).find("Ownership lost") != std::string::npos;
    });
    LONGS_EQUAL(202, system.submit(frozen, "next", make_items("next", 8)));
    system.wait_for_results(frozen, "next", 8);
  }
};

TEST(frozen_owner_test, job_ended_during_the_freeze_sends_no_sample_afterwards) {
  set_engines_full(system, true);
  LONGS_EQUAL(202, system.submit(0, "job", make_items("job", k_items)));
  platform_cluster::wait_until("engines have refused runs",
                               [&] { return count_arrivals(system, "job-") > 4; });
  std::size_t const frozen = freeze_until_job_is_over();
  std::size_t const before = count_arrivals(system, "job-");
  set_engines_full(system, false);
  resume_owner(frozen);
  LONGS_EQUAL(before, count_arrivals(system, "job-"));
}

TEST(frozen_owner_test, job_ended_during_the_freeze_calls_no_scorer_afterwards) {
  set_apps_full(system, true);
  LONGS_EQUAL(202, system.submit(0, "job", make_items("job", k_items)));
  platform_cluster::wait_until("scorers have refused calls",
                               [&] { return count_arrivals(system, "score-job-") > 4; });
  std::size_t const frozen = freeze_until_job_is_over();
  std::size_t const before = count_arrivals(system, "score-job-");
  set_apps_full(system, false);
  resume_owner(frozen);
  LONGS_EQUAL(before, count_arrivals(system, "score-job-"));
}
