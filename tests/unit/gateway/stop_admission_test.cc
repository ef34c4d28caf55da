/// @file Requests that reach a gateway during its planned stop.

#include "gateway/stop_admission.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(stop_admission_test) {
  time_point begin{std::chrono::hours(1)};
  time_point refuse_from = begin + seconds(3);
  time_point ends_at = begin + seconds(7);
  stop_admission admission;
};

TEST(stop_admission_test, everything_is_admitted_before_a_stop) {
  CHECK(admission.admits(begin, time_point::max()));
  CHECK(admission.limit(ends_at) == ends_at);
}

TEST(stop_admission_test, early_requests_are_admitted_and_end_with_the_stop) {
  admission.begin_stop(refuse_from, ends_at);
  CHECK(admission.admits(begin, ends_at + seconds(5)));
  CHECK(admission.limit(ends_at + seconds(5)) == ends_at);
}

TEST(stop_admission_test, late_requests_are_admitted_if_they_end_before_the_stop) {
  admission.begin_stop(refuse_from, ends_at);
  CHECK(admission.admits(refuse_from, ends_at));
  CHECK_FALSE(admission.admits(refuse_from, ends_at + milliseconds(1)));
}
