/// @file Who takes a stopping relay's place.

#include "relay/asking_nodes.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(asking_nodes_test) {
  asking_nodes nodes;
  time_point now{std::chrono::hours(1)};

  void hear(std::string const& name, double share, milliseconds uptime, std::string zone = "a",
            bool leaving = false) {
    asking_node one;
    one.node = name;
    one.zone = std::move(zone);
    one.address = endpoint{"127.0.0.1", 1000};
    one.processor_share = share;
    one.uptime = uptime;
    one.leaving = leaving;
    nodes.note(std::move(one), now);
  }

  std::string picked() {
    auto const one = nodes.pick("a", now);
    return one ? one->node : "nobody";
  }
};

TEST(asking_nodes_test, strongest_node_follows_and_among_equal_ones_the_youngest) {
  STRCMP_EQUAL("nobody", picked().c_str());
  hear("weak", 0.1, seconds(1));
  hear("old", 0.5, seconds(900));
  STRCMP_EQUAL("old", picked().c_str());
  hear("restarted", 0.5, seconds(4));
  STRCMP_EQUAL("restarted", picked().c_str());
}

TEST(asking_nodes_test, nodes_that_stop_or_stand_elsewhere_do_not_follow) {
  hear("far", 0.5, seconds(1), "b");
  hear("stops", 0.5, seconds(1), "a", true);
  STRCMP_EQUAL("nobody", picked().c_str());
}

TEST(asking_nodes_test, node_that_fell_silent_does_not_follow) {
  hear("one", 0.5, seconds(1));
  now += seconds(3);
  STRCMP_EQUAL("nobody", picked().c_str());
  hear("two", 0.1, seconds(1));
  STRCMP_EQUAL("two", picked().c_str());
}
