/// @file Limit of concurrent calls to scorers.

#include "jobs/sample_scorer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(sample_scorer_test){};

TEST(sample_scorer_test, call_limit_is_two_thirds_of_the_slots) {
  LONGS_EQUAL(12, max_concurrent_calls(18));
  LONGS_EQUAL(36, max_concurrent_calls(54));
}

TEST(sample_scorer_test, call_limit_has_a_minimum) {
  LONGS_EQUAL(4, max_concurrent_calls(0));
  LONGS_EQUAL(4, max_concurrent_calls(3));
}
