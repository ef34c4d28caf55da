#include "standin/engine_model.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace frostline::standin;

TEST_GROUP(engine_model_test) {
  engine_model engine{2, 1000, 1};

  void setup() override { engine.set_version("m", 1); }

  void submit(std::string const& id, std::int32_t priority, std::uint32_t resume = 0) {
    CHECK(engine.submit({id, "m", "prompt", 0, 64, priority, resume}));
  }
};

TEST(engine_model_test, higher_priority_runs_first) {
  submit("low", 0);
  submit("lower", -1);
  submit("high", 5);
  std::set<std::string> running;
  for (auto const& piece : engine.step()) running.insert(piece.id);
  CHECK(running == std::set<std::string>({"high", "low"}));
}

TEST(engine_model_test, version_changes_within_a_sample) {
  submit("s", 0);
  LONGS_EQUAL(1, engine.step().front().version);
  engine.set_version("m", 2);
  LONGS_EQUAL(2, engine.step().front().version);
}

TEST(engine_model_test, resumed_sample_has_the_same_length) {
  std::uint32_t const length = sample_length("prompt", 0, 64, 1);
  submit("s", 0, length - 1);
  CHECK(engine.step().front().finished);
}

TEST(engine_model_test, lower_epoch_is_refused) {
  CHECK(engine.check_order(5, "m", 2) == order_result::accepted);
  CHECK(engine.check_order(4, "m", 3) == order_result::stale_epoch);
  engine.set_version("m", 2);
  CHECK(engine.check_order(5, "m", 1) == order_result::conflicting_content);
  CHECK(engine.check_order(6, "m", 1) == order_result::accepted);
}

TEST(engine_model_test, lengths_are_heavy_tailed_and_capped) {
  std::vector<std::uint32_t> lengths;
  for (int index = 0; index < 2000; ++index) {
    lengths.push_back(sample_length("p" + std::to_string(index), 0, 2000, 1));
  }
  std::sort(lengths.begin(), lengths.end());
  CHECK(lengths.front() >= 24);
  CHECK(lengths[1000] < 60);
  CHECK(lengths[1980] > 500);
  CHECK(lengths.back() <= 2000);
}

TEST(engine_model_test, cache_evicts_the_least_recently_used_prompt) {
  prefix_cache cache(10);
  CHECK_FALSE(cache.touch("a", 4));
  CHECK_FALSE(cache.touch("b", 4));
  CHECK(cache.touch("a", 4));
  CHECK_FALSE(cache.touch("c", 4));
  CHECK(cache.touch("a", 4));
  CHECK_FALSE(cache.touch("b", 4));
}
