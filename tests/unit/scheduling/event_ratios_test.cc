/// @file Events per token of the length hint, learned from completed runs.

#include "scheduling/event_ratios.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::scheduling;

TEST_GROUP(event_ratios_test) { event_ratios ratios; };

TEST(event_ratios_test, unknown_until_enough_runs_were_completed) {
  for (int run = 0; run < 6; ++run) ratios.note_completed("m", 1000, 20);
  DOUBLES_EQUAL(0, ratios.events_for("m", 1000), 0);
  ratios.note_completed("m", 1000, 20);
  DOUBLES_EQUAL(40, ratios.events_for("m", 2000), 0.01);
}

// Guards against an average, which a few very long runs would raise.
TEST(event_ratios_test, long_runs_with_low_hints_do_not_shift_the_ratio) {
  for (int run = 0; run < 20; ++run) {
    ratios.note_completed("m", 1000, 20);
    if (run % 3 == 0) ratios.note_completed("m", 1000, 140);
  }
  DOUBLES_EQUAL(20, ratios.events_for("m", 1000), 0.01);
}

TEST(event_ratios_test, models_are_kept_apart) {
  for (int run = 0; run < 10; ++run) {
    ratios.note_completed("long", 1000, 20);
    ratios.note_completed("short", 1000, 6);
  }
  DOUBLES_EQUAL(20, ratios.events_for("long", 1000), 0.01);
  DOUBLES_EQUAL(6, ratios.events_for("short", 1000), 0.01);
  DOUBLES_EQUAL(0, ratios.events_for("other", 1000), 0);
}

TEST(event_ratios_test, follows_a_change) {
  for (int run = 0; run < 31; ++run) ratios.note_completed("m", 1000, 20);
  for (int run = 0; run < 20; ++run) ratios.note_completed("m", 1000, 50);
  DOUBLES_EQUAL(50, ratios.events_for("m", 1000), 0.01);
}

// Guards against a division by zero for items without a hint.
TEST(event_ratios_test, ignores_runs_without_a_hint_or_events) {
  for (int run = 0; run < 10; ++run) {
    ratios.note_completed("m", 0, 20);
    ratios.note_completed("m", 1000, 0);
  }
  DOUBLES_EQUAL(0, ratios.events_for("m", 1000), 0);
}
