/// @file Estimates of run lengths: before any run is known, from wrong hints and from heavy tails.

#include "scheduling/run_estimate.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>

using namespace frostline;
using namespace frostline::scheduling;

TEST_GROUP(run_estimate_test) {
  run_estimate estimates;

  void complete(std::string const& model, std::uint64_t hint, std::uint64_t events, int times) {
    for (int run = 0; run < times; ++run) {
      estimates.note_completed(model, hint, events);
      estimates.note_event_time(model, 20.0);
    }
  }
};

// Guards against a new owner without estimates that ignores which samples are long.
TEST(run_estimate_test, without_completed_runs_longer_hints_give_longer_estimates) {
  model_pace const pace = estimates.pace_of("model");
  CHECK_FALSE(pace.is_reliable());
  CHECK(expected_time_left(pace, {100, 0, 0}) > expected_time_left(pace, {10, 0, 0}));
  LONGS_EQUAL(100, expected_events(pace, {100, 0, 0}));
}

TEST(run_estimate_test, events_per_hint_and_time_per_event_are_learned_by_model) {
  complete("short", 10, 20, 10);
  complete("long", 10, 5, 10);
  DOUBLES_EQUAL(2.0, estimates.pace_of("short").events_per_hint, 0.01);
  DOUBLES_EQUAL(0.5, estimates.pace_of("long").events_per_hint, 0.01);
  CHECK(estimates.pace_of("short").is_reliable());
  LONGS_EQUAL(400, expected_time_left(estimates.pace_of("short"), {10, 0, 0}).count());
}

TEST(run_estimate_test, model_without_event_times_has_the_mean_of_the_others) {
  complete("known", 10, 10, 10);
  DOUBLES_EQUAL(20.0, estimates.pace_of("unknown").event_ms, 0.01);
  CHECK_FALSE(estimates.pace_of("unknown").is_reliable());
}

// Guards against a few wrong hints that shift the estimates of all samples of a model.
TEST(run_estimate_test, single_hints_that_are_far_off_hardly_change_the_average) {
  complete("model", 20, 20, 100);
  complete("model", 1, 140, 1);
  complete("model", 1'000'000'000, 1, 1);
  DOUBLES_EQUAL(1.0, estimates.pace_of("model").events_per_hint, 0.05);
  DOUBLES_EQUAL(20.0, estimates.pace_of("model").events_per_run, 1.0);
}

// Guards against averages that never forget: a new policy may write twice as much.
TEST(run_estimate_test, change_of_length_is_followed_within_two_steps) {
  complete("model", 20, 20, 1000);
  complete("model", 20, 40, 320);
  DOUBLES_EQUAL(2.0, estimates.pace_of("model").events_per_hint, 0.1);
}

// Guards against long runs with short hints that count as almost complete for their whole tail.
TEST(run_estimate_test, run_beyond_its_estimate_needs_as_long_again) {
  complete("model", 10, 10, 10);
  model_pace const pace = estimates.pace_of("model");
  LONGS_EQUAL(4 * 20, expected_time_left(pace, {10, 200, 6}).count());
  LONGS_EQUAL(60 * 20, expected_time_left(pace, {10, 200, 60}).count());
  LONGS_EQUAL(50 * 20, expected_time_left(pace, {10, 200, 150}).count());
  LONGS_EQUAL(0, expected_time_left(pace, {10, 200, 200}).count());
  LONGS_EQUAL(0, least_time_left(pace, {10, 200, 60}).count());
}

TEST(run_estimate_test, estimates_of_extreme_hints_and_lengths_are_bounded) {
  model_pace const pace = estimates.pace_of("model");
  LONGS_EQUAL(141, expected_events(pace, {UINT64_MAX, 141, 0}));
  CHECK(expected_time_left(pace, {UINT64_MAX, 0, 0}) <= std::chrono::hours(24));
  CHECK(expected_time_left(pace, {0, 0, UINT64_MAX}) <= std::chrono::hours(24));
  estimates.note_completed("model", UINT64_MAX, UINT64_MAX);
  estimates.note_completed("model", 1, 0);
  estimates.note_event_time("model", -5.0);
  CHECK(estimates.pace_of("model").event_ms > 0);
  CHECK(estimates.pace_of("model").events_per_hint > 0);
}

// Guards against a time per event that contains the wait for the first event.
TEST(run_estimate_test, time_per_event_is_counted_from_the_first_events) {
  time_point const now{std::chrono::hours(1)};
  event_timer timer;
  timer.note_events(2, false, now + seconds(2));
  CHECK_FALSE(timer.event_ms().has_value());
  for (int piece = 1; piece <= 5; ++piece) {
    timer.note_events(2, false, now + seconds(2) + piece * milliseconds(97));
  }
  DOUBLES_EQUAL(48.5, *timer.event_ms(), 0.01);
}

// Guards against a load of weights during a run that makes all later runs look slow.
TEST(run_estimate_test, paused_run_gives_no_time_per_event) {
  time_point const now{std::chrono::hours(1)};
  event_timer timer;
  for (int event = 0; event < 20; ++event) {
    timer.note_events(1, event == 10, now + event * milliseconds(50));
  }
  CHECK_FALSE(timer.event_ms().has_value());
}

// Guards against memory that grows with the names of models in submitted jobs.
TEST(run_estimate_test, number_of_models_is_bounded) {
  for (std::size_t index = 0; index <= run_estimate::k_max_models; ++index) {
    complete("model" + std::to_string(index), 10, 20, 1);
  }
  LONGS_EQUAL(1, estimates.pace_of("model0").runs);
  LONGS_EQUAL(0, estimates.pace_of("model" + std::to_string(run_estimate::k_max_models)).runs);
}

// Guards against memory that is planned with a ratio of events to hints that is not known yet.
TEST(run_estimate_test, events_for_a_hint_are_unknown_until_enough_runs_completed) {
  complete("model", 10, 20, 7);
  DOUBLES_EQUAL(0, estimates.hinted_events("model", 100), 0);
  complete("model", 10, 20, 1);
  DOUBLES_EQUAL(200, estimates.hinted_events("model", 100), 1);
  DOUBLES_EQUAL(0, estimates.hinted_events("other", 100), 0);
}
