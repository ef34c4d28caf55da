/// @file The relay of each zone, as read from the store's records.

#include "relay/zone_relays.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(zone_relays_test) {
  zone_relays relays;

  kv::watch_event record(std::string const& zone, std::string const& node, kv::revision revision) {
    kv::watch_event event;
    event.entry.key = zone_relays::key_of(zone);
    event.entry.value = zone_relays::encode({zone, node, {"127.0.0.1", 7001}, 0});
    event.entry.mod_revision = revision;
    return event;
  }
};

TEST(zone_relays_test, finds_the_relay_of_a_zone_and_its_revision) {
  relays.apply(record("a", "node-1", 7));
  STRCMP_EQUAL("node-1", relays.find("a")->node.c_str());
  LONGS_EQUAL(7001, relays.find("a")->address.port);
  LONGS_EQUAL(7, relays.revision_of("a"));
  POINTERS_EQUAL(nullptr, relays.find("b"));
  LONGS_EQUAL(0, relays.revision_of("b"));
}

TEST(zone_relays_test, older_record_does_not_replace_a_newer_one) {
  relays.apply(record("a", "node-2", 9));
  relays.apply(record("a", "node-1", 7));
  STRCMP_EQUAL("node-2", relays.find("a")->node.c_str());
}

TEST(zone_relays_test, zone_whose_record_is_deleted_has_no_relay) {
  relays.apply(record("a", "node-1", 7));
  kv::watch_event gone = record("a", "node-1", 8);
  gone.deleted = true;
  relays.apply(gone);
  POINTERS_EQUAL(nullptr, relays.find("a"));
  LONGS_EQUAL(0, relays.revision_of("a"));
}

TEST(zone_relays_test, malformed_record_is_no_relay_but_keeps_its_revision) {
  kv::watch_event bad = record("a", "node-1", 7);
  bad.entry.value = "garbage";
  relays.apply(bad);
  POINTERS_EQUAL(nullptr, relays.find("a"));
  LONGS_EQUAL(7, relays.revision_of("a"));
}
