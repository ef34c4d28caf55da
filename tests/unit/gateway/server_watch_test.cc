/// @file Tests for the time at which a server without a record is removed.

#include <CppUTest/TestHarness.h>

#include "gateway/directory_updater.h"

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(server_watch_test) {
  time_point const now = boot_clock::now();
  milliseconds const leave_time{4000};
};

TEST(server_watch_test, deleted_record_removes_the_server_at_once_while_the_store_is_available) {
  CHECK(departure_time(now, time_point::min(), leave_time) == now);
  CHECK(departure_time(now, now - seconds(30), leave_time) == now);
}

TEST(server_watch_test, record_deleted_after_a_store_outage_delays_the_removal) {
  time_point const back = now - milliseconds(300);
  CHECK(departure_time(now, back, leave_time) == back + milliseconds(2000));
}

TEST(server_watch_test, server_is_removed_before_the_leave_time_ends) {
  milliseconds const short_time{1500};
  CHECK(departure_time(now, now, short_time) < now + short_time);
  CHECK(departure_time(now, now, milliseconds(0)) == now);
}
