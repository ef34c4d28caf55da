/// @file When a server whose record goes counts as gone.

#include "gateway/server_watch.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(server_watch_test) {
  time_point const now = boot_clock::now();
  milliseconds const leave_time{4000};
};

TEST(server_watch_test, record_that_goes_while_the_store_answers_is_a_departure_at_once) {
  CHECK(departure_time(now, time_point::min(), leave_time) == now);
  CHECK(departure_time(now, now - seconds(30), leave_time) == now);
}

TEST(server_watch_test, record_that_goes_right_after_the_stores_return_may_be_written_again) {
  time_point const back = now - milliseconds(300);
  CHECK(departure_time(now, back, leave_time) == back + milliseconds(2000));
}

TEST(server_watch_test, nothing_is_sent_any_more_before_the_time_a_departure_allows) {
  milliseconds const short_time{1500};
  CHECK(departure_time(now, now, short_time) < now + short_time);
  CHECK(departure_time(now, now, milliseconds(0)) == now);
}
