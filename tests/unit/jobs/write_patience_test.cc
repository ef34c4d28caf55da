/// @file How soon a write without an answer is sent again.

#include "jobs/write_patience.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

TEST_GROUP(write_patience_test) { write_patience patience; };

TEST(write_patience_test, lost_answer_of_a_fast_store_is_found_out_soon) {
  patience.note_answer(milliseconds(5));
  LONGS_EQUAL(250, patience.wait(1000, 0).count());
}

TEST(write_patience_test, several_lost_answers_cost_little_and_then_the_wait_doubles) {
  LONGS_EQUAL(250, patience.wait(0, 4).count());
  LONGS_EQUAL(500, patience.wait(0, 5).count());
  LONGS_EQUAL(1000, patience.wait(0, 6).count());
  LONGS_EQUAL(1500, patience.wait(0, 20).count());
}

TEST(write_patience_test, slow_store_is_not_asked_again_for_each_answer) {
  patience.note_answer(milliseconds(200));
  CHECK(patience.wait(0, 0) >= milliseconds(1000));
  for (int answers = 0; answers < 20; ++answers) patience.note_answer(milliseconds(5));
  CHECK(patience.wait(0, 0) < milliseconds(300));
}

TEST(write_patience_test, large_writes_have_time_to_be_sent) {
  CHECK(patience.wait(800 * 1024, 0) >= milliseconds(450));
}
