/// @file Which changes of a server matter to its callers.

#include "directory/server_directory.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::directory;

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
  CHECK(serve_alike(one, loaded));
}

TEST(server_directory_test, everything_else_does) {
  server draining = one;
  draining.state = server_state::draining;
  CHECK_FALSE(serve_alike(one, draining));
  server moved = one;
  moved.address.port = 7;
  CHECK_FALSE(serve_alike(one, moved));
  server plain = one;
  plain.models.clear();
  CHECK_FALSE(serve_alike(one, plain));
}
