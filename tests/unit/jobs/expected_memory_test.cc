/// @file Growth of a run's memory by the submitter's hint.

#include <CppUTest/TestHarness.h>

#include "jobs/job_table.h"

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(expected_memory_test) {
  rpc::JobItemT item;

  double final_size() const {
    scheduling::memory_plan plan;
    plan.add(1, expected_memory(item));
    return plan.peak();
  }
};

// The sum of final sizes and the plan must agree on each run, or switching the feature would change
// what a run counts with.
TEST(expected_memory_test, final_size_is_that_of_expected_tokens) {
  item.tokens = 1000;
  for (std::uint64_t const limit : {0, 1, 400, 900, 1000, 2000}) {
    for (std::uint64_t const hint : {0, 1, 100, 450, 800, 5000}) {
      item.generated_limit = limit;
      item.length_hint = hint;
      DOUBLES_EQUAL(static_cast<double>(expected_tokens(item)), final_size(), 0);
    }
  }
}

TEST(expected_memory_test, prompt_is_what_the_limit_leaves) {
  item.tokens = 1000;
  item.generated_limit = 900;
  item.length_hint = 100;
  LONGS_EQUAL(100, expected_memory(item).prompt_tokens);
  LONGS_EQUAL(900, expected_memory(item).output_limit);
  LONGS_EQUAL(100, expected_memory(item).hinted_tokens);
}
