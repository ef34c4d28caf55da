/// @file Runs the membership protocol over a simulated network with virtual time.

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>

#include "membership/table.h"

using namespace frostline;
using namespace frostline::membership;

namespace {

/// Nodes "0", "1", … whose messages arrive immediately unless `lost` returns true. Nodes for which
/// `stopped` returns true neither run their timers nor receive messages.
class network {
 public:
  explicit network(int nodes) {
    for (int index = 0; index < nodes; ++index) add(index);
    for (int index = 0; index < nodes; ++index) introduce(index);
  }

  void add(int index, std::uint64_t incarnation = 1) {
    tables[std::to_string(index)] =
        std::make_unique<table>(describe(index, incarnation), timing{}, index + 1);
  }

  void introduce(int index) {
    for (auto const& [id, other] : tables) {
      tables[std::to_string(index)]->add_seed(other->self(), now);
    }
  }

  void run(milliseconds duration) {
    time_point const end = now + duration;
    while (now < end) {
      now += milliseconds(100);
      for (auto const& [id, node_table] : tables) {
        if (!stopped(id)) deliver(id, node_table->tick(now));
      }
    }
  }

  void deliver(std::string const& from, std::vector<outgoing_message> messages) {
    for (auto& sent : messages) {
      std::string const to = sent.gossip_address;
      auto const target = tables.find(to);
      if (target == tables.end() || stopped(to) || lost(from, to)) continue;
      deliver(to, target->second->receive(sent.message, now));
    }
  }

  member_state state_of(std::string const& viewer, std::string const& id) {
    return tables.at(viewer)->find(id)->update.state;
  }

  static member_update describe(int index, std::uint64_t incarnation) {
    member_update update;
    update.id = std::to_string(index);
    update.gossip_address = update.id;
    update.zone = "zone-" + std::to_string(index % 3);
    update.incarnation = incarnation;
    return update;
  }

  std::map<std::string, std::unique_ptr<table>> tables;
  std::function<bool(std::string const&)> stopped = [](std::string const&) { return false; };
  std::function<bool(std::string const&, std::string const&)> lost =
      [](std::string const&, std::string const&) { return false; };
  time_point now = time_point() + seconds(1000);
};

}  // namespace

TEST_GROUP(membership_table_test){};

TEST(membership_table_test, all_members_stay_alive_without_failures) {
  network net(20);
  net.run(seconds(60));
  for (auto const& [viewer, view] : net.tables) {
    for (auto const& [id, entry] : view->members()) {
      CHECK(entry.update.state == member_state::ALIVE);
    }
  }
}

TEST(membership_table_test, dead_node_is_detected_by_all_members) {
  network net(20);
  net.run(seconds(5));
  net.stopped = [](std::string const& id) { return id == "7"; };
  net.run(seconds(15));
  for (auto const& [viewer, view] : net.tables) {
    if (viewer != "7") CHECK(net.state_of(viewer, "7") == member_state::DEAD);
  }
}

TEST(membership_table_test, simultaneous_deaths_are_detected_by_all_members) {
  network net(100);
  net.run(seconds(30));
  auto const dead = [](std::string const& id) { return std::stoi(id) % 10 == 0; };
  net.stopped = dead;
  net.run(seconds(30));
  for (auto const& [viewer, view] : net.tables) {
    if (dead(viewer)) continue;
    for (auto const& [id, entry] : view->members()) {
      CHECK((entry.update.state == member_state::DEAD) == dead(id));
    }
  }
}

TEST(membership_table_test, suspended_node_suspects_no_other_member) {
  network net(30);
  net.run(seconds(10));
  // Node 3 is suspended for 20 s; then its timers fire before it reads the messages received.
  net.stopped = [](std::string const& id) { return id == "3"; };
  net.run(seconds(20));
  net.stopped = [](std::string const&) { return false; };
  net.run(milliseconds(100));
  for (auto const& [id, entry] : net.tables.at("3")->members()) {
    CHECK(entry.update.state == member_state::ALIVE);
  }
}

TEST(membership_table_test, suspended_node_refutes_its_death) {
  network net(10);
  net.run(seconds(5));
  net.stopped = [](std::string const& id) { return id == "3"; };
  net.run(seconds(15));
  CHECK(net.state_of("0", "3") == member_state::DEAD);
  net.stopped = [](std::string const&) { return false; };
  net.run(seconds(20));
  for (auto const& [viewer, view] : net.tables) {
    if (viewer != "3") CHECK(net.state_of(viewer, "3") == member_state::ALIVE);
  }
}

TEST(membership_table_test, one_broken_link_causes_no_deaths) {
  network net(10);
  net.lost = [](std::string const& from, std::string const& to) {
    return (from == "1" && to == "2") || (from == "2" && to == "1");
  };
  net.run(seconds(60));
  for (auto const& [viewer, view] : net.tables) {
    for (auto const& [id, entry] : view->members()) CHECK(entry.is_alive());
  }
}

TEST(membership_table_test, members_rejoin_after_a_partition) {
  network net(9);
  net.run(seconds(5));
  auto const side = [](std::string const& id) { return std::stoi(id) % 3 == 0; };
  net.lost = [side](std::string const& from, std::string const& to) {
    return side(from) != side(to);
  };
  net.run(seconds(30));
  CHECK(net.state_of("1", "0") == member_state::DEAD);
  CHECK(net.state_of("0", "1") == member_state::DEAD);
  net.lost = [](std::string const&, std::string const&) { return false; };
  net.run(seconds(60));
  for (auto const& [viewer, view] : net.tables) {
    for (auto const& [id, entry] : view->members()) CHECK(entry.is_alive());
  }
}

TEST(membership_table_test, isolated_node_receives_nothing_from_other_zones) {
  network net(9);
  net.run(seconds(5));
  net.lost = [](std::string const& from, std::string const& to) {
    return (from == "0") != (to == "0");
  };
  net.run(seconds(3));
  CHECK(net.now - net.tables.at("0")->last_heard_outside_zone() > seconds(2));
  CHECK(net.now - net.tables.at("1")->last_heard_outside_zone() < seconds(2));
}

TEST(membership_table_test, new_node_becomes_known_by_its_own_messages) {
  network net(6);
  net.run(seconds(5));
  net.add(99);
  net.introduce(99);
  net.run(seconds(15));
  for (auto const& [viewer, view] : net.tables) {
    if (viewer != "99") CHECK(view->find("99") != nullptr);
  }
}

TEST(membership_table_test, leaving_is_disseminated_and_not_reported_as_death) {
  network net(6);
  net.run(seconds(5));
  net.deliver("2", net.tables.at("2")->leave(net.now));
  net.run(seconds(10));
  for (auto const& [viewer, view] : net.tables) {
    if (viewer != "2") CHECK(net.state_of(viewer, "2") == member_state::LEAVING);
  }
}

TEST(membership_table_test, restarted_node_replaces_its_previous_incarnation) {
  network net(5);
  net.run(seconds(5));
  net.stopped = [](std::string const& id) { return id == "4"; };
  net.run(seconds(15));
  net.stopped = [](std::string const&) { return false; };
  net.add(4, 500);
  net.introduce(4);
  net.run(seconds(10));
  CHECK(net.state_of("0", "4") == member_state::ALIVE);
  LONGS_EQUAL(500, net.tables.at("0")->find("4")->update.incarnation);
}

TEST(membership_table_test, newest_configuration_and_its_holder_are_known) {
  network net(5);
  net.tables.at("3")->set_local_facts(77, milliseconds(0));
  net.run(seconds(10));
  LONGS_EQUAL(77, net.tables.at("0")->newest_config_revision());
  STRCMP_EQUAL("3", net.tables.at("0")->newest_config_holder().c_str());
}
