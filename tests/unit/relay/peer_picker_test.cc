/// @file Selection of the peer to poll next.

#include "relay/peer_picker.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(peer_picker_test) {
  zone_relays relays;
  time_point now = boot_clock::now();

  static endpoint at(std::uint16_t port) { return {"127.0.0.1", port}; }

  void add(std::string const& zone, std::string const& node, std::uint16_t port) {
    kv::watch_event event;
    event.entry.key = zone_relays::key_of(zone);
    event.entry.value = zone_relays::encode({zone, node, at(port), 0});
    event.entry.mod_revision = port;
    relays.apply(event);
  }

  static peer_picker_options options_of(std::string const& node) {
    peer_picker_options options;
    options.node = node;
    options.zone = "a";
    options.self = at(9000);
    options.seeds = {at(8001), at(9000)};
    return options;
  }
};

TEST(peer_picker_test, own_zones_relay_comes_first_then_other_relays_then_seeds) {
  add("a", "relay-a", 7001);
  add("b", "relay-b", 7002);
  peer_picker picker(options_of("node"));
  auto const all = picker.candidates(relays);
  LONGS_EQUAL(3, all.size());
  CHECK(all.at(0) == at(7001));
  CHECK(all.at(1) == at(7002));
  CHECK(all.at(2) == at(8001));
}

TEST(peer_picker_test, never_selects_itself) {
  add("a", "node", 9000);
  peer_picker picker(options_of("node"));
  CHECK(picker.candidates(relays) == std::vector<endpoint>{at(8001)});
}

TEST(peer_picker_test, failed_peer_is_skipped_for_a_backoff) {
  add("a", "relay-a", 7001);
  add("b", "relay-b", 7002);
  peer_picker picker(options_of("node"));
  picker.note_failure(at(7001), now);
  CHECK(picker.pick(relays, now) == at(7002));
  CHECK(picker.pick(relays, now + peer_picker_options().failure_backoff) == at(7001));
  picker.note_failure(at(7001), now);
  picker.note_success(at(7001));
  CHECK(picker.pick(relays, now) == at(7001));
}

TEST(peer_picker_test, non_authoritative_peer_is_skipped_for_less_time_than_a_failed_one) {
  add("a", "relay-a", 7001);
  peer_picker picker(options_of("node"));
  picker.note_not_authoritative(at(7001), now);
  CHECK(picker.pick(relays, now) == at(8001));
  CHECK(picker.pick(relays, now + peer_picker_options().not_authoritative_backoff) == at(7001));
  CHECK(peer_picker_options().not_authoritative_backoff < peer_picker_options().failure_backoff);
}

TEST(peer_picker_test, selects_nothing_when_all_peers_have_failed) {
  add("a", "relay-a", 7001);
  peer_picker picker(options_of("node"));
  picker.note_failure(at(7001), now);
  picker.note_failure(at(8001), now);
  CHECK_FALSE(picker.pick(relays, now).has_value());
}

TEST(peer_picker_test, nodes_of_a_zone_without_a_relay_spread_over_other_relays) {
  add("b", "relay-b", 7002);
  add("c", "relay-c", 7003);
  add("d", "relay-d", 7004);
  std::set<std::uint16_t> asked;
  for (int node = 0; node < 30; ++node) {
    peer_picker picker(options_of("node-" + std::to_string(node)));
    asked.insert(picker.pick(relays, now)->port);
  }
  LONGS_EQUAL(3, asked.size());
}
