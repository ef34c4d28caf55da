/// @file Conditions under which an owner without a valid lease may start runs.

#include "jobs/run_permission.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(run_permission_test) {
  time_point const start{milliseconds(1'000'000)};
  run_permission permission{start};

  /// Notes an iteration of the owner's loop every 100 ms from `from` up to `until`.
  void run_iterations(time_point from, time_point until, bool holds_lease) {
    for (time_point now = from; now <= until; now += milliseconds(100)) {
      permission.note_iteration(now, holds_lease);
    }
  }
};

TEST(run_permission_test, owner_that_never_held_the_lease_starts_no_runs) {
  run_iterations(start, start + seconds(3), false);
  CHECK(!permission.may_start_runs(start + seconds(3), false));
}

TEST(run_permission_test, running_process_keeps_starting_runs_for_the_grace_period) {
  run_iterations(start, start, true);
  time_point const before_expiry = start + run_permission::k_lapsed_lease_grace - milliseconds(50);
  run_iterations(start, before_expiry, false);
  CHECK(permission.may_start_runs(before_expiry, false));
  CHECK(!permission.may_have_successor(before_expiry, false));
  time_point const expiry = start + run_permission::k_lapsed_lease_grace;
  CHECK(!permission.may_start_runs(expiry, false));
}

TEST(run_permission_test, resumed_process_starts_no_runs_before_its_first_iteration) {
  run_iterations(start, start, true);
  time_point const resumed_at = start + seconds(3);
  CHECK(permission.may_have_successor(resumed_at, false));
  CHECK(!permission.may_start_runs(resumed_at, false));
}

TEST(run_permission_test, resumed_process_waits_for_news_of_a_new_owner) {
  run_iterations(start, start, true);
  time_point const resumed_at = start + seconds(3);
  time_point const discovery_over = resumed_at + run_permission::k_owner_discovery_time;
  run_iterations(resumed_at, discovery_over - milliseconds(1), false);
  CHECK(!permission.may_start_runs(discovery_over - milliseconds(1), false));
  CHECK(permission.may_start_runs(discovery_over, false));
  CHECK(!permission.may_have_successor(discovery_over, false));
}

TEST(run_permission_test, suspension_with_a_valid_lease_stops_no_runs) {
  run_iterations(start, start, true);
  time_point const resumed_at = start + seconds(1);
  CHECK(permission.may_start_runs(resumed_at, true));
  CHECK(!permission.may_have_successor(resumed_at, true));
  permission.note_iteration(resumed_at, true);
  CHECK(permission.may_start_runs(resumed_at, true));
}

TEST(run_permission_test, second_suspension_delays_runs_again) {
  run_iterations(start, start, true);
  time_point const first = start + seconds(1);
  run_iterations(first, first + seconds(1), false);
  CHECK(permission.may_start_runs(first + seconds(1), false));
  time_point const second = first + seconds(2);
  permission.note_iteration(second, false);
  CHECK(!permission.may_start_runs(second, false));
}
