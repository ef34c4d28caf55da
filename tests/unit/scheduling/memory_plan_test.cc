/// @file Expected KV cache usage of one engine over time.

#include "scheduling/memory_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace frostline::scheduling;

namespace {

/// A run with a prompt of 100 tokens that is expected to end with 100 + 2 * `hinted` tokens, by 10
/// tokens an event.
run_memory make_memory(std::uint64_t hinted, std::uint64_t events = 0) {
  run_memory memory;
  memory.prompt_tokens = 100;
  memory.hinted_tokens = hinted;
  memory.output_limit = 100'000;
  memory.hinted_events = static_cast<double>(hinted) / 10;
  memory.events = events;
  return memory;
}

/// Returns the capacity of which `tokens` remain after the reserve.
std::uint64_t capacity_for(std::uint64_t tokens) { return (tokens * 20 + 18) / 19; }

}  // namespace

TEST_GROUP(memory_plan_test) { memory_plan plan; };

// Guards against a return to reservations of the final sizes, which left slots unused.
TEST(memory_plan_test, bounds_the_peak_and_not_the_sum_of_final_sizes) {
  plan.add(1, make_memory(100));
  plan.add(2, make_memory(1000));
  // At the end of run 1 (20 events): 300 + 300. At the end of run 2 (200 events): 2100.
  DOUBLES_EQUAL(2100, plan.peak(), 1);
  CHECK(plan.admits(make_memory(100), capacity_for(2100)));
  CHECK_FALSE(plan.admits(make_memory(100), capacity_for(2000)));
}

// Guards against counting only the peak of the longest run: here all short runs end together.
TEST(memory_plan_test, counts_all_runs_that_are_alive_at_an_end) {
  for (run_id id = 1; id <= 4; ++id) plan.add(id, make_memory(100));
  plan.add(5, make_memory(200));
  // At the end of the short runs: 4 * 300 + 300.
  DOUBLES_EQUAL(1500, plan.peak(), 1);
  CHECK_FALSE(plan.admits(make_memory(100), capacity_for(1799)));
  CHECK(plan.admits(make_memory(100), capacity_for(1801)));
}

// Guards against admitting short runs too late in the life of a long one.
TEST(memory_plan_test, short_runs_beside_a_long_one_fit_until_it_has_grown) {
  run_memory long_run = make_memory(1000);
  long_run.output_limit = 2000;
  plan.add(1, long_run);
  std::uint64_t const capacity = capacity_for(2150);
  CHECK(plan.admits(make_memory(50), capacity));
  plan.progress(1, 175);
  // In 10 events the candidate ends with 200 tokens beside 1950 of the long run.
  CHECK(plan.admits(make_memory(50), capacity));
  plan.progress(1, 180);
  CHECK_FALSE(plan.admits(make_memory(50), capacity));
}

// Guards against a candidate that outlives the runs in flight and grows beyond the cache alone.
TEST(memory_plan_test, checks_the_end_of_the_candidate) {
  plan.add(1, make_memory(100));
  CHECK(plan.admits(make_memory(1000), capacity_for(2101)));
  CHECK_FALSE(plan.admits(make_memory(1000), capacity_for(2099)));
}

// Guards against treating a run as done, or as constant, once its hint turns out too low.
TEST(memory_plan_test, run_past_its_estimate_is_expected_to_double) {
  plan.add(1, make_memory(100));
  plan.progress(1, 10);
  DOUBLES_EQUAL(300, plan.peak(), 1);
  plan.progress(1, 30);
  DOUBLES_EQUAL(700, plan.peak(), 1);
  plan.progress(1, 1000);
  DOUBLES_EQUAL(20100, plan.peak(), 1);
}

TEST(memory_plan_test, run_never_exceeds_its_limit) {
  run_memory memory = make_memory(100);
  memory.output_limit = 150;
  plan.add(1, memory);
  DOUBLES_EQUAL(250, plan.peak(), 1);
  plan.progress(1, 500);
  DOUBLES_EQUAL(250, plan.peak(), 1);
}

TEST(memory_plan_test, early_end_frees_the_memory) {
  plan.add(1, make_memory(1000));
  plan.add(2, make_memory(1000));
  CHECK_FALSE(plan.admits(make_memory(1000), capacity_for(4300)));
  plan.remove(1);
  CHECK(plan.admits(make_memory(1000), capacity_for(4300)));
  plan.remove(2);
  CHECK(plan.empty());
  DOUBLES_EQUAL(0, plan.peak(), 0);
}

// Guards against runs that never start, since no engine can hold them as expected.
TEST(memory_plan_test, idle_engine_admits_any_run) {
  CHECK(plan.admits(make_memory(1'000'000), 10));
}

// Guards against counting the part that another engine generated as still to come.
TEST(memory_plan_test, resumed_run_occupies_its_output_from_the_start) {
  plan.add(1, make_memory(1000, 100));
  CHECK_FALSE(plan.admits(make_memory(100), capacity_for(1350)));
  plan.progress(1, 100);
  DOUBLES_EQUAL(2100, plan.peak(), 1);
}

// Guards against a division by an unknown pace, and against ignoring such runs.
TEST(memory_plan_test, run_of_unknown_pace_counts_with_its_final_size) {
  run_memory unknown = make_memory(100);
  unknown.hinted_events = 0;
  plan.add(1, unknown);
  plan.add(2, make_memory(1000));
  DOUBLES_EQUAL(300 + 2100, plan.peak(), 1);
  plan.progress(1, 50);
  DOUBLES_EQUAL(300 + 2100, plan.peak(), 1);
  CHECK(plan.admits(unknown, capacity_for(2701)));
  CHECK_FALSE(plan.admits(unknown, capacity_for(2699)));
}

TEST(memory_plan_test, run_without_a_hint_counts_with_its_final_size) {
  run_memory memory;
  memory.prompt_tokens = 500;
  plan.add(1, memory);
  plan.progress(1, 10);
  DOUBLES_EQUAL(500, plan.peak(), 0);
}

// Progress of a run that has ended may still arrive.
TEST(memory_plan_test, ignores_unknown_runs) {
  plan.add(1, make_memory(100));
  plan.progress(2, 10);
  plan.remove(2);
  DOUBLES_EQUAL(300, plan.peak(), 1);
}

// Guards against a loss of the order by end, on which the peak depends.
TEST(memory_plan_test, peak_is_that_of_an_exhaustive_check) {
  std::uint64_t random = 7;
  auto const next = [&](std::uint64_t limit) {
    random = random * 6364136223846793005 + 1442695040888963407;
    return (random >> 33) % limit;
  };
  for (int round = 0; round < 200; ++round) {
    memory_plan tested;
    std::vector<run_memory> runs;
    for (run_id id = 0; id < 8; ++id) {
      runs.push_back(make_memory(50 + 10 * next(300)));
      tested.add(id, runs.back());
    }
    for (int change = 0; change < 20; ++change) {
      run_id const id = next(8);
      runs[id].events += next(60);
      tested.progress(id, runs[id].events);
    }
    double peak = 0;
    for (int event = 0; event <= 3000; ++event) {
      double sum = 0;
      for (run_memory const& run : runs) {
        double const output = 10.0 * static_cast<double>(run.events);
        double const last = 2 * std::max(output, static_cast<double>(run.hinted_tokens));
        double const then = output + 10.0 * event;
        if (then <= last) sum += 100 + then;
      }
      peak = std::max(peak, sum);
    }
    DOUBLES_EQUAL(peak, tested.peak(), 0.01);
  }
}
