/// @file Digest for callers, and the handling of restarts.

#include "directory/server_directory.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::directory;

namespace {

bool same_for_callers(server const& left, server const& right) {
  return digest_for_callers(left) == digest_for_callers(right);
}

}  // namespace

TEST_GROUP(server_directory_test) {
  server original;

  void setup() override {
    original.id = "e-1";
    original.service = "pool";
    original.models["m"] = 3;
  }
};

TEST(server_directory_test, weights_and_orders_do_not_change_the_digest) {
  server loaded = original;
  loaded.models["m"] = 4;
  loaded.sequence = 9;
  CHECK(same_for_callers(original, loaded));
}

TEST(server_directory_test, state_address_and_presence_of_models_change_the_digest) {
  server draining = original;
  draining.state = server_state::draining;
  CHECK_FALSE(same_for_callers(original, draining));
  server moved = original;
  moved.address.port = 7;
  CHECK_FALSE(same_for_callers(original, moved));
  server plain = original;
  plain.models.clear();
  CHECK_FALSE(same_for_callers(original, plain));
}

TEST(server_directory_test, stale_records_of_a_previous_incarnation_are_ignored) {
  server_directory all;
  int restarts = 0;
  all.on_server_restart([&](server const&) { ++restarts; });
  original.born = 5;
  all.put(original);
  server next = original;
  next.born = 9;
  next.sequence = 0;
  all.put(next);
  LONGS_EQUAL(1, restarts);
  original.state = server_state::draining;
  all.put(original);
  all.replace_all({original});
  LONGS_EQUAL(9, all.find("e-1")->born);
  CHECK(all.find("e-1")->state == server_state::ready);
  // After the removal, a record of an earlier incarnation is accepted again.
  all.remove("e-1");
  all.put(original);
  LONGS_EQUAL(5, all.find("e-1")->born);
}

TEST(server_directory_test, incarnation_changes_the_digest) {
  server next = original;
  next.born = 1;
  CHECK_FALSE(same_for_callers(original, next));
}

TEST(server_directory_test, incarnation_is_superseded_by_a_later_one) {
  server_directory all;
  all.put(original);
  CHECK_FALSE(all.is_superseded(original));
  server next = original;
  next.born = original.born + 1;
  all.put(next);
  CHECK(all.is_superseded(original));
  CHECK_FALSE(all.is_superseded(next));
}

TEST(server_directory_test, incarnation_is_superseded_by_a_server_at_the_same_address) {
  server_directory all;
  all.put(original);
  server next = original;
  next.id = "e-2";
  next.service = "others";
  all.put(next);
  CHECK_FALSE(all.is_superseded(original));
  next.service = original.service;
  all.put(next);
  CHECK(all.is_superseded(original));
}

TEST(server_directory_test, only_the_draining_incarnation_is_leaving) {
  server_directory all;
  all.put(original);
  CHECK_FALSE(all.is_leaving(original));
  server leaving = original;
  leaving.state = server_state::draining;
  all.put(leaving);
  CHECK(all.is_leaving(original));
  server next = original;
  next.born = original.born + 1;
  CHECK_FALSE(all.is_leaving(next));
}
