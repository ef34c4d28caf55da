/// @file Selection of the node that replaces a stopping relay.

#include <CppUTest/TestHarness.h>

#include "relay/polling_nodes.h"

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(asking_nodes_test) {
  polling_nodes nodes;
  time_point now{std::chrono::hours(1)};

  void add(std::string const& name, double share, milliseconds uptime, std::string zone = "a",
           bool leaving = false) {
    polling_node node;
    node.node = name;
    node.zone = std::move(zone);
    node.address = endpoint{"127.0.0.1", 1000};
    node.processor_share = share;
    node.uptime = uptime;
    node.leaving = leaving;
    nodes.note(std::move(node), now);
  }

  std::string picked_node() {
    auto const node = nodes.pick("a", now);
    return node ? node->node : "nobody";
  }
};

TEST(asking_nodes_test, picks_strongest_node_and_most_recently_started_among_equals) {
  STRCMP_EQUAL("nobody", picked_node().c_str());
  add("weak", 0.1, seconds(1));
  add("old", 0.5, seconds(900));
  STRCMP_EQUAL("old", picked_node().c_str());
  add("restarted", 0.5, seconds(4));
  STRCMP_EQUAL("restarted", picked_node().c_str());
}

TEST(asking_nodes_test, ignores_leaving_nodes_and_nodes_of_other_zones) {
  add("far", 0.5, seconds(1), "b");
  add("stops", 0.5, seconds(1), "a", true);
  STRCMP_EQUAL("nobody", picked_node().c_str());
}

TEST(asking_nodes_test, ignores_node_that_stopped_polling) {
  add("one", 0.5, seconds(1));
  now += seconds(3);
  STRCMP_EQUAL("nobody", picked_node().c_str());
  add("two", 0.1, seconds(1));
  STRCMP_EQUAL("two", picked_node().c_str());
}
