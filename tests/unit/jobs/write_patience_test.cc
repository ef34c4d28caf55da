/// @file Timeout after which an unanswered write is retried.

#include <CppUTest/TestHarness.h>

#include "jobs/write_timeout_estimator.h"

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(write_patience_test) { write_timeout_estimator estimator; };

TEST(write_patience_test, timeout_is_short_for_a_fast_store) {
  estimator.note_answer(milliseconds(5));
  LONGS_EQUAL(250, estimator.timeout_for(1000, 0).count());
}

TEST(write_patience_test, timeout_doubles_after_several_lost_answers) {
  LONGS_EQUAL(250, estimator.timeout_for(0, 4).count());
  LONGS_EQUAL(500, estimator.timeout_for(0, 5).count());
  LONGS_EQUAL(1000, estimator.timeout_for(0, 6).count());
  LONGS_EQUAL(1500, estimator.timeout_for(0, 20).count());
}

TEST(write_patience_test, timeout_follows_the_response_time_of_a_slow_store) {
  estimator.note_answer(milliseconds(200));
  CHECK(estimator.timeout_for(0, 0) >= milliseconds(1000));
  for (int answers = 0; answers < 20; ++answers) estimator.note_answer(milliseconds(5));
  CHECK(estimator.timeout_for(0, 0) < milliseconds(300));
}

TEST(write_patience_test, timeout_of_large_writes_includes_sending) {
  CHECK(estimator.timeout_for(800 * 1024, 0) >= milliseconds(450));
}
