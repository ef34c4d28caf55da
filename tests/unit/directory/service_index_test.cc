/// @file Lookup of servers by service and by address.

#include "directory/service_index.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::directory;

TEST_GROUP(service_index_test) {
  service_index index;

  static server make(std::string const& id, std::uint16_t port) {
    server record;
    record.id = id;
    record.service = "calls";
    record.address = {"127.0.0.1", port};
    record.slots = 3;
    return record;
  }
};

TEST(service_index_test, ready_servers_of_a_service_are_sorted_by_identifier) {
  server const second = make("b", 2);
  server const first = make("a", 1);
  server leaving = make("c", 3);
  leaving.state = server_state::draining;
  for (server const* record : {&second, &first, static_cast<server const*>(&leaving)})
    index.add(*record);
  LONGS_EQUAL(2, index.ready("calls").size());
  STRCMP_EQUAL("a", index.ready("calls").front()->id.c_str());
  LONGS_EQUAL(6, index.ready_slots("calls"));
  LONGS_EQUAL(0, index.ready("others").size());
  index.remove(first);
  LONGS_EQUAL(1, index.ready("calls").size());
  LONGS_EQUAL(3, index.ready_slots("calls"));
}

TEST(service_index_test, other_server_at_the_same_address_is_found) {
  server const previous = make("a", 1);
  server const next = make("b", 1);
  index.add(previous);
  CHECK_FALSE(index.has_other_at_address(previous));
  index.add(next);
  CHECK(index.has_other_at_address(previous));
  index.remove(previous);
  CHECK(index.has_other_at_address(previous));
  CHECK_FALSE(index.has_other_at_address(next));
}
