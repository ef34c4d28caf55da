/// @file When an owner whose lease may be over begins runs.

#include "jobs/run_permission.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(run_permission_test) {
  time_point const start{milliseconds(1'000'000)};
  run_permission permission{start};

  /// The loop turns as usual up to `until`.
  void turn(time_point from, time_point until, bool holds_lease) {
    for (time_point now = from; now <= until; now += milliseconds(100)) {
      permission.note_turn(now, holds_lease);
    }
  }
};

TEST(run_permission_test, owner_without_a_lease_ever_begins_nothing) {
  turn(start, start + seconds(3), false);
  CHECK(!permission.may_begin_runs(start + seconds(3), false));
}

TEST(run_permission_test, lapsed_lease_of_a_process_that_runs_stops_runs_only_later) {
  turn(start, start, true);
  time_point const late = start + run_permission::k_lapsed_work - milliseconds(50);
  turn(start, late, false);
  CHECK(permission.may_begin_runs(late, false));
  CHECK(!permission.may_be_succeeded(late, false));
  time_point const over = start + run_permission::k_lapsed_work;
  CHECK(!permission.may_begin_runs(over, false));
}

TEST(run_permission_test, process_that_stood_still_begins_nothing_before_its_loop_has_turned) {
  turn(start, start, true);
  time_point const back = start + seconds(3);
  CHECK(permission.may_be_succeeded(back, false));
  CHECK(!permission.may_begin_runs(back, false));
}

TEST(run_permission_test, process_that_stood_still_listens_before_it_goes_on) {
  turn(start, start, true);
  time_point const back = start + seconds(3);
  time_point const heard = back + run_permission::k_hearing_time;
  turn(back, heard - milliseconds(1), false);
  CHECK(!permission.may_begin_runs(heard - milliseconds(1), false));
  CHECK(permission.may_begin_runs(heard, false));
  CHECK(!permission.may_be_succeeded(heard, false));
}

TEST(run_permission_test, pause_with_a_valid_lease_stops_nothing) {
  turn(start, start, true);
  time_point const back = start + seconds(1);
  CHECK(permission.may_begin_runs(back, true));
  CHECK(!permission.may_be_succeeded(back, true));
  permission.note_turn(back, true);
  CHECK(permission.may_begin_runs(back, true));
}

TEST(run_permission_test, second_standstill_is_listened_after_too) {
  turn(start, start, true);
  time_point const first = start + seconds(1);
  turn(first, first + seconds(1), false);
  CHECK(permission.may_begin_runs(first + seconds(1), false));
  time_point const second = first + seconds(2);
  permission.note_turn(second, false);
  CHECK(!permission.may_begin_runs(second, false));
}
