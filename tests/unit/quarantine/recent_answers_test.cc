/// @file Retention of recent answers.

#include "quarantine/recent_answers.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::quarantine;

TEST_GROUP(recent_answers_test) {
  recent_answers answers;
  time_point const start{milliseconds(1'000'000)};

  static fingerprint request_of(int number) {
    return fingerprint::of({"", "host", "POST", "/", std::to_string(number)});
  }
};

TEST(recent_answers_test, answer_is_known_until_retention_ends) {
  answers.note(request_of(1), start);
  CHECK(answers.has(request_of(1), start + recent_answers::k_retention - milliseconds(1)));
  CHECK(!answers.has(request_of(1), start + recent_answers::k_retention));
  CHECK(!answers.has(request_of(2), start));
}

TEST(recent_answers_test, later_answer_extends_retention) {
  answers.note(request_of(1), start);
  answers.note(request_of(1), start + milliseconds(2000));
  answers.note(request_of(2), start + milliseconds(3500));
  CHECK(answers.has(request_of(1), start + milliseconds(4000)));
}

TEST(recent_answers_test, number_of_answers_is_bounded) {
  for (int number = 0; number < 5000; ++number) answers.note(request_of(number), start);
  CHECK(answers.size() <= recent_answers::k_max_entries);
  CHECK(answers.has(request_of(4999), start));
}
