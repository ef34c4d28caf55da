/// @file Servers by service and by address.

#include "directory/service_index.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::directory;

TEST_GROUP(service_index_test) {
  service_index index;

  static server make(std::string const& id, std::uint16_t port) {
    server one;
    one.id = id;
    one.service = "calls";
    one.address = {"127.0.0.1", port};
    one.slots = 3;
    return one;
  }
};

TEST(service_index_test, ready_servers_are_listed_by_service_in_order) {
  server const second = make("b", 2);
  server const first = make("a", 1);
  server leaving = make("c", 3);
  leaving.state = server_state::draining;
  for (server const* one : {&second, &first, static_cast<server const*>(&leaving)}) index.add(*one);
  LONGS_EQUAL(2, index.ready("calls").size());
  STRCMP_EQUAL("a", index.ready("calls").front()->id.c_str());
  LONGS_EQUAL(6, index.ready_slots("calls"));
  LONGS_EQUAL(0, index.ready("others").size());
  index.remove(first);
  LONGS_EQUAL(1, index.ready("calls").size());
  LONGS_EQUAL(3, index.ready_slots("calls"));
}

TEST(service_index_test, server_at_anothers_address_is_found) {
  server const former = make("a", 1);
  server const next = make("b", 1);
  index.add(former);
  CHECK_FALSE(index.has_other_at_address(former));
  index.add(next);
  CHECK(index.has_other_at_address(former));
  index.remove(former);
  CHECK(index.has_other_at_address(former));
  CHECK_FALSE(index.has_other_at_address(next));
}
