#include <CppUTest/TestHarness.h>

#include "ownership/planner.h"

using namespace frostline;
using namespace frostline::ownership;

namespace {

membership::member_update node(std::string const& id, std::string const& zone) {
  membership::member_update update;
  update.id = id;
  update.zone = zone;
  update.incarnation = 5;
  update.gossip_address = id;
  return update;
}

config::store::owner_entry owner(std::string const& id, std::uint64_t incarnation,
                                 kv::revision revision) {
  config::store::owner_entry entry;
  entry.record.node = id;
  entry.record.incarnation = incarnation;
  entry.revision = revision;
  return entry;
}

}  // namespace

TEST_GROUP(ownership_planner_test) {
  time_point now = time_point() + seconds(100);
  identity self{"a", 5, "z1"};
  membership::table members{node("a", "z1"), {}, 1};
  std::vector<resource> resources;
  std::map<std::string, config::store::owner_entry const*> owner_of;

  void setup() override {
    members.add_seed(node("b", "z1"), now);
    members.add_seed(node("c", "z2"), now);
    for (int index = 0; index < 60; ++index) {
      resources.push_back({"key-" + std::to_string(index), ""});
    }
  }

  void kill(std::string const& id) {
    membership::gossip_message message;
    message.sender = std::make_unique<membership::member_update>(node("c", "z2"));
    auto dead = node(id, "z1");
    dead.state = membership::member_state::DEAD;
    message.updates.push_back(std::make_unique<membership::member_update>(dead));
    members.receive(message, now);
  }
};

TEST(ownership_planner_test, free_resources_are_distributed_over_live_nodes) {
  auto const plan = plan_acquisitions(resources, self, members, owner_of);
  CHECK(plan.size() > 8);
  CHECK(plan.size() < 35);
  for (acquisition const& planned : plan) LONGS_EQUAL(0, planned.expected);
}

TEST(ownership_planner_test, owners_in_the_resources_zone_are_preferred) {
  for (int index = 0; index < 20; ++index) {
    resource const wanted{"engine-" + std::to_string(index), "z2"};
    STRCMP_EQUAL("c", preferred_owner(wanted, self, members).c_str());
  }
  resource const nowhere{"engine", "z9"};
  CHECK_FALSE(preferred_owner(nowhere, self, members).empty());
}

TEST(ownership_planner_test, resource_of_a_live_owner_is_not_acquired) {
  auto const held = owner("b", 5, 40);
  for (resource const& wanted : resources) owner_of[wanted.key] = &held;
  CHECK(plan_acquisitions(resources, self, members, owner_of).empty());
}

TEST(ownership_planner_test, dead_owner_is_replaced_at_its_records_revision) {
  auto const held = owner("b", 5, 40);
  for (resource const& wanted : resources) owner_of[wanted.key] = &held;
  kill("b");
  auto const plan = plan_acquisitions(resources, self, members, owner_of);
  CHECK_FALSE(plan.empty());
  for (acquisition const& planned : plan) LONGS_EQUAL(40, planned.expected);
}

TEST(ownership_planner_test, resource_of_an_unknown_owner_is_not_acquired) {
  auto const held = owner("stranger", 1, 40);
  for (resource const& wanted : resources) owner_of[wanted.key] = &held;
  CHECK(plan_acquisitions(resources, self, members, owner_of).empty());
}

TEST(ownership_planner_test, record_of_this_nodes_previous_process_is_replaced) {
  auto const held = owner("a", 4, 40);
  for (resource const& wanted : resources) owner_of[wanted.key] = &held;
  CHECK_FALSE(plan_acquisitions(resources, self, members, owner_of).empty());
  CHECK_FALSE(is_self(held.record, self));
}

TEST(ownership_planner_test, node_above_its_share_releases_a_resource_preferred_elsewhere) {
  std::vector<std::string> held;
  for (resource const& wanted : resources) held.push_back(wanted.key);
  auto const released = plan_release(resources, held, self, members);
  CHECK(released.has_value());
  CHECK(preferred_owner({*released, ""}, self, members) != "a");
  held.resize(20);
  CHECK_FALSE(plan_release(resources, held, self, members).has_value());
}

TEST(ownership_planner_test, leaving_node_acquires_nothing) {
  members.leave(now);
  CHECK(plan_acquisitions(resources, self, members, owner_of).empty());
}
