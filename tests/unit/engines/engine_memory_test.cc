/// @file Admission of runs by the memory of engines.

#include <CppUTest/TestHarness.h>

#include "engines/engine_board.h"

using namespace frostline;
using namespace frostline::engines;

namespace {

directory::server make_engine(std::string const& id, std::uint32_t slots) {
  directory::server engine;
  engine.id = id;
  engine.service = "pool";
  engine.slots = slots;
  for (auto const* model : {"a", "b", "c", "d"}) engine.models[model] = 1;
  return engine;
}

/// Requirements of a run with a prompt of 100 tokens, 10 tokens an event, and twice `hinted` as its
/// expected output.
run_requirements make_requirements(std::uint64_t hinted) {
  run_requirements need;
  need.service = "pool";
  need.model = "a";
  need.memory.prompt_tokens = 100;
  need.memory.hinted_tokens = hinted;
  need.memory.output_limit = 10'000;
  need.memory.hinted_events = static_cast<double>(hinted) / 10;
  need.tokens = 100 + 2 * hinted;
  return need;
}

constexpr milliseconds k_gap{48};

}  // namespace

TEST_GROUP(engine_memory_test) {
  engine_board board;
  time_point now{std::chrono::hours(1)};
  scheduling::run_id last_run = 0;

  void setup() override {
    board.put(make_engine("e", 8));
    board.set_cache_tokens(3000);
    board.set_memory_planning(true);
    board.note_event_gap("e", k_gap, now);
  }

  scheduling::run_id start(run_requirements const& need) {
    board.note_started("e", need.tokens, need.group, ++last_run, need.memory);
    return last_run;
  }

  void end(run_requirements const& need, scheduling::run_id run) {
    board.note_ended("e", need.tokens, need.group, run);
  }

  bool admits(run_requirements const& need) { return board.choose(need, now) != nullptr; }
};

TEST(engine_memory_test, without_planning_the_sum_of_final_sizes_is_the_limit) {
  board.set_memory_planning(false);
  start(make_requirements(1000));
  CHECK(admits(make_requirements(400)));
  CHECK_FALSE(admits(make_requirements(401)));
}

TEST(engine_memory_test, short_runs_start_beside_a_long_one) {
  start(make_requirements(1000));
  for (int run = 0; run < 6; ++run) {
    CHECK(admits(make_requirements(100)));
    start(make_requirements(100));
  }
  LONGS_EQUAL(2100 + 6 * 300, board.find("e")->tokens_in_flight);
  CHECK_FALSE(admits(make_requirements(1000)));
}

// Guards against runs that wait beside idle slots because none of them has a length hint.
TEST(engine_memory_test, run_that_may_exceed_the_memory_starts_while_less_than_half_is_taken) {
  run_requirements need = make_requirements(5000);
  need.may_exceed_memory = true;
  for (int run = 0; run < 4; ++run) {
    CHECK(admits(need));
    start(need);
  }
  CHECK_FALSE(admits(need));
}

TEST(engine_memory_test, early_end_of_a_run_frees_its_memory) {
  run_requirements const need = make_requirements(1000);
  scheduling::run_id const run = start(need);
  CHECK_FALSE(admits(need));
  start(make_requirements(10));
  end(need, run);
  CHECK(admits(need));
}

TEST(engine_memory_test, idle_engine_takes_any_run) {
  run_requirements const need = make_requirements(5000);
  CHECK(admits(need));
  end(need, start(need));
  CHECK(admits(need));
}

// Guards against plans without any sign of progress, for example after a new owner started.
TEST(engine_memory_test, without_a_recent_gap_the_sum_of_final_sizes_is_the_limit) {
  start(make_requirements(1000));
  CHECK(admits(make_requirements(410)));
  now += std::chrono::seconds(7);
  CHECK(admits(make_requirements(400)));
  CHECK_FALSE(admits(make_requirements(410)));
}

TEST(engine_memory_test, typical_gap_of_the_pool_serves_engines_without_a_gap) {
  now += std::chrono::seconds(7);
  board.put(make_engine("other", 8));
  board.note_event_gap("other", k_gap, now);
  start(make_requirements(1000));
  run_requirements need = make_requirements(410);
  need.excluded = {"other"};
  CHECK(admits(need));
}

// Guards against runs that are counted in only one of the accounts, or twice.
TEST(engine_memory_test, switching_at_run_time_keeps_both_accounts) {
  run_requirements const long_run = make_requirements(1000);
  run_requirements const short_run = make_requirements(100);
  board.set_memory_planning(false);
  scheduling::run_id const first = start(long_run);
  scheduling::run_id const second = start(short_run);
  board.note_progress("e", second, 8);
  board.set_memory_planning(true);
  DOUBLES_EQUAL(2100, board.find("e")->memory.peak(), 1);
  scheduling::run_id const third = start(short_run);
  end(short_run, second);
  board.set_memory_planning(false);
  LONGS_EQUAL(2400, board.find("e")->tokens_in_flight);
  CHECK_FALSE(admits(make_requirements(251)));
  end(long_run, first);
  board.set_memory_planning(true);
  end(short_run, third);
  LONGS_EQUAL(0, board.find("e")->tokens_in_flight);
  CHECK(board.find("e")->memory.empty());
  LONGS_EQUAL(0, board.find("e")->in_flight);
}

TEST(engine_memory_test, counts_runs_over_the_sum_and_refusals) {
  start(make_requirements(1000));
  start(make_requirements(400));
  LONGS_EQUAL(0, board.memory().admitted_over_sum);
  CHECK(admits(make_requirements(50)));
  start(make_requirements(50));
  LONGS_EQUAL(1, board.memory().admitted_over_sum);
  LONGS_EQUAL(0, board.memory().refused);
  CHECK_FALSE(admits(make_requirements(1000)));
  LONGS_EQUAL(1, board.memory().refused);
}

// An engine that could not run the model anyway is no lack of memory.
TEST(engine_memory_test, other_reasons_are_not_counted_as_refusals) {
  start(make_requirements(1000));
  run_requirements need = make_requirements(1000);
  need.min_version = 2;
  CHECK_FALSE(admits(need));
  LONGS_EQUAL(0, board.memory().refused);
}

TEST(engine_memory_test, without_a_cache_size_all_slots_are_used) {
  board.set_cache_tokens(0);
  for (int run = 0; run < 8; ++run) {
    CHECK(admits(make_requirements(1000)));
    start(make_requirements(1000));
  }
  CHECK_FALSE(admits(make_requirements(1)));
  LONGS_EQUAL(0, board.memory().refused);
}
