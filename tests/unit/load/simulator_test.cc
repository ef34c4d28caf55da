#include "load/simulator.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::load;

TEST_GROUP(simulator_test) {
  simulation_options options;

  void setup() override {
    options.engines = 4;
    options.steps = 3;
    options.samples_per_step = 64;
    options.max_tokens = 512;
    options.train_time = seconds(5);
  }
};

TEST(simulator_test, every_sample_is_delivered_once_within_the_bound) {
  auto const report = simulate(options);
  CHECK(report.finished);
  LONGS_EQUAL(192, report.samples);
  CHECK(report.staleness_p99 <= options.freshness_bound);
  CHECK(report.tokens_generated >= report.tokens_delivered);
}

TEST(simulator_test, same_options_give_the_same_report) {
  options.mean_time_between_crashes = seconds(60);
  auto const first = simulate(options);
  auto const second = simulate(options);
  DOUBLES_EQUAL(first.total_seconds, second.total_seconds, 0);
  LONGS_EQUAL(first.tokens_generated, second.tokens_generated);
}

TEST(simulator_test, crashes_lose_no_sample) {
  options.mean_time_between_crashes = seconds(20);
  options.restart_time = seconds(5);
  auto const report = simulate(options);
  CHECK(report.finished);
  LONGS_EQUAL(192, report.samples);
}

TEST(simulator_test, trainer_idle_time_grows_with_step_duration) {
  double const fast = simulate(options).idle_seconds;
  options.step *= 3;
  CHECK(simulate(options).idle_seconds > fast);
}
