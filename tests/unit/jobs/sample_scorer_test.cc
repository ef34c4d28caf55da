/// @file How many scorers' calls may be under way at once.

#include "jobs/sample_scorer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(sample_scorer_test){};

TEST(sample_scorer_test, calls_grow_with_the_slots_and_leave_a_third_to_others) {
  LONGS_EQUAL(12, calls_at_once(18));
  LONGS_EQUAL(36, calls_at_once(54));
}

TEST(sample_scorer_test, some_calls_go_out_even_where_slots_are_few_or_unknown) {
  LONGS_EQUAL(4, calls_at_once(0));
  LONGS_EQUAL(4, calls_at_once(3));
}
