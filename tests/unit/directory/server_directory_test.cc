/// @file Which changes of a server matter to its callers.

#include "directory/server_directory.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::directory;

namespace {

bool alike(server const& left, server const& right) {
  return digest_for_callers(left) == digest_for_callers(right);
}

}  // namespace

TEST_GROUP(server_directory_test) {
  server one;

  void setup() override {
    one.id = "e-1";
    one.service = "pool";
    one.models["m"] = 3;
  }
};

TEST(server_directory_test, new_weights_and_orders_change_nothing_for_callers) {
  server loaded = one;
  loaded.models["m"] = 4;
  loaded.sequence = 9;
  CHECK(alike(one, loaded));
}

TEST(server_directory_test, everything_else_does) {
  server draining = one;
  draining.state = server_state::draining;
  CHECK_FALSE(alike(one, draining));
  server moved = one;
  moved.address.port = 7;
  CHECK_FALSE(alike(one, moved));
  server plain = one;
  plain.models.clear();
  CHECK_FALSE(alike(one, plain));
}

TEST(server_directory_test, later_life_replaces_the_one_before_and_never_the_other_way) {
  server_directory all;
  int lives = 0;
  all.on_server_restart([&](server const&) { ++lives; });
  one.born = 5;
  all.put(one);
  server next = one;
  next.born = 9;
  next.sequence = 0;
  all.put(next);
  LONGS_EQUAL(1, lives);
  one.state = server_state::draining;
  all.put(one);
  all.replace_all({one});
  LONGS_EQUAL(9, all.find("e-1")->born);
  CHECK(all.find("e-1")->state == server_state::ready);
  // Once it is gone, nothing is late any more.
  all.remove("e-1");
  all.put(one);
  LONGS_EQUAL(5, all.find("e-1")->born);
}

TEST(server_directory_test, another_life_is_not_alike) {
  server next = one;
  next.born = 1;
  CHECK_FALSE(alike(one, next));
}

TEST(server_directory_test, life_is_replaced_by_a_later_one_under_its_identifier) {
  server_directory all;
  all.put(one);
  CHECK_FALSE(all.is_superseded(one));
  server next = one;
  next.born = one.born + 1;
  all.put(next);
  CHECK(all.is_superseded(one));
  CHECK_FALSE(all.is_superseded(next));
}

TEST(server_directory_test, life_is_replaced_by_another_one_at_its_address_in_its_service) {
  server_directory all;
  all.put(one);
  server next = one;
  next.id = "e-2";
  next.service = "others";
  all.put(next);
  CHECK_FALSE(all.is_superseded(one));
  next.service = one.service;
  all.put(next);
  CHECK(all.is_superseded(one));
}

TEST(server_directory_test, life_that_drains_is_leaving_and_the_next_one_is_not) {
  server_directory all;
  all.put(one);
  CHECK_FALSE(all.is_leaving(one));
  server leaving = one;
  leaving.state = server_state::draining;
  all.put(leaving);
  CHECK(all.is_leaving(one));
  server next = one;
  next.born = one.born + 1;
  CHECK_FALSE(all.is_leaving(next));
}
