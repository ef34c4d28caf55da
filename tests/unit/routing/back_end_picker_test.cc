#include "routing/back_end_picker.h"

#include <CppUTest/TestHarness.h>

#include "routing/retry_budget.h"

using namespace frostline;
using namespace frostline::routing;

TEST_GROUP(back_end_picker_test) {
  back_end_picker picker{7};
  time_point now = time_point() + seconds(100);
  std::vector<std::string> servers = {"a", "b", "c"};

  void fail(std::string const& server, int times) {
    for (int count = 0; count < times; ++count) {
      picker.note_sent(server);
      picker.note_failure(server, now);
    }
  }
};

TEST(back_end_picker_test, tried_servers_are_not_picked_again) {
  for (int round = 0; round < 20; ++round) {
    STRCMP_EQUAL("c", picker.pick(servers, {"a", "b"}, now)->c_str());
  }
  CHECK_FALSE(picker.pick(servers, {"a", "b", "c"}, now).has_value());
}

TEST(back_end_picker_test, three_consecutive_failures_eject_temporarily) {
  fail("a", 2);
  CHECK_FALSE(picker.is_ejected("a", now));
  fail("a", 1);
  CHECK(picker.is_ejected("a", now));
  for (int round = 0; round < 20; ++round) CHECK(*picker.pick(servers, {}, now) != "a");
  CHECK_FALSE(picker.is_ejected("a", now + milliseconds(500)));
}

TEST(back_end_picker_test, an_answer_resets_the_failure_count) {
  fail("a", 2);
  picker.note_sent("a");
  picker.note_answer("a");
  fail("a", 2);
  CHECK_FALSE(picker.is_ejected("a", now));
}

TEST(back_end_picker_test, ejected_servers_are_used_if_all_are_ejected) {
  for (std::string const& server : servers) fail(server, 3);
  CHECK(picker.pick(servers, {}, now).has_value());
}

TEST(back_end_picker_test, more_loaded_server_is_picked_less_often) {
  for (int count = 0; count < 50; ++count) picker.note_sent("a");
  int picked = 0;
  for (int round = 0; round < 300; ++round) {
    if (*picker.pick(servers, {}, now) == "a") ++picked;
  }
  CHECK(picked < 60);
}

TEST(back_end_picker_test, retries_are_limited_to_a_fraction_of_first_attempts) {
  retry_budget budget;
  budget.set_percent(10);
  int retries = 0;
  for (int count = 0; count < 1000; ++count) {
    budget.note_first_try();
    if (budget.try_spend()) ++retries;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 104);
}
