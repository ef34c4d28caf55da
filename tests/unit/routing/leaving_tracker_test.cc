#include "routing/leaving_tracker.h"

#include <CppUTest/TestHarness.h>

using frostline::routing::leaving_source;
using frostline::routing::leaving_tracker;

TEST_GROUP(leaving_tracker_test) { leaving_tracker tracker; };

TEST(leaving_tracker_test, any_source_marks_a_back_end) {
  tracker.mark("a", 1, leaving_source::machine_list);
  tracker.mark("b", 1, leaving_source::operator_drain);
  tracker.mark("c", 900, leaving_source::back_end);
  CHECK(tracker.is_leaving("a", 1, {}));
  CHECK(tracker.is_leaving("b", 1, {}));
  CHECK(tracker.is_leaving("c", 1, 900));
  CHECK_FALSE(tracker.is_leaving("d", 1, 1));
}

TEST(leaving_tracker_test, only_a_newer_incarnation_clears_a_mark) {
  tracker.mark("a", 3, leaving_source::machine_list);
  CHECK(tracker.is_leaving("a", 2, {}));
  CHECK(tracker.is_leaving("a", 3, {}));
  CHECK_FALSE(tracker.is_leaving("a", 4, {}));
}

TEST(leaving_tracker_test, an_older_incarnation_does_not_lower_a_mark) {
  tracker.mark("a", 5, leaving_source::machine_list);
  tracker.mark("a", 2, leaving_source::machine_list);
  CHECK(tracker.is_leaving("a", 5, {}));
}

TEST(leaving_tracker_test, reported_and_listed_incarnations_are_not_compared) {
  // Engines report their start time in Unix milliseconds as the incarnation; the machine list
  // numbers incarnations from 1.
  tracker.mark("e", 1, leaving_source::operator_drain);
  CHECK(tracker.is_leaving("e", 1, 1'700'000'000'000));
  tracker.mark("f", 1'700'000'000'000, leaving_source::back_end);
  CHECK(tracker.is_leaving("f", 1, 1'700'000'000'000));
  CHECK_FALSE(tracker.is_leaving("f", 1, 1'700'000'000'001));
}

TEST(leaving_tracker_test, operator_undo_keeps_marks_of_other_sources) {
  tracker.mark("a", 1, leaving_source::operator_drain);
  tracker.mark("a", 1, leaving_source::machine_list);
  tracker.undo_operator_drain("a");
  CHECK(tracker.is_leaving("a", 1, {}));
  LONGS_EQUAL(1, tracker.entries().size());
}
