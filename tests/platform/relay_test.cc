/// @file Changes of servers reach all nodes through one of them, and without it.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(relay_test) {
  platform_cluster system{platform_options()};

  /// Watches of servers that told a change.
  std::uint64_t told_watches() {
    return system.on_platform([&] { return system.store().answered_watches("servers/"); });
  }

  void drain(std::size_t app) {
    system.on_platform([&] {
      system.announce(system.app(app), "draining");
      return 0;
    });
  }

  bool knows_of_drain(std::size_t node) {
    return system.log(node).find("Server drains") != std::string::npos;
  }
};

TEST(relay_test, change_of_a_server_costs_one_watch_and_reaches_all_nodes) {
  system.owner();
  // What the nodes watched before they knew the owner ends with the first change.
  drain(0);
  platform_cluster::wait_until("all nodes know of the first drain", [&] {
    return knows_of_drain(0) && knows_of_drain(1) && knows_of_drain(2);
  });
  std::uint64_t const before = told_watches();
  system.on_platform([&] {
    system.withdraw(system.app(0));
    return 0;
  });
  platform_cluster::wait_until("all nodes know that it is gone", [&] {
    for (std::size_t node = 0; node < 3; ++node) {
      if (system.log(node).find("Server gone") == std::string::npos) return false;
    }
    return true;
  });
  LONGS_EQUAL(before + 1, told_watches());
}

TEST(relay_test, nodes_watch_the_store_themselves_when_the_owner_stands_still) {
  std::size_t const owner = system.owner();
  drain(1);
  platform_cluster::wait_until("all nodes know of the first drain", [&] {
    return knows_of_drain(0) && knows_of_drain(1) && knows_of_drain(2);
  });
  system.node(owner).send_signal(SIGSTOP);
  system.on_platform([&] {
    system.withdraw(system.app(1));
    return 0;
  });
  platform_cluster::wait_until("the others know", [&] {
    for (std::size_t node = 0; node < 3; ++node) {
      if (node == owner) continue;
      if (system.log(node).find("Server gone") == std::string::npos) return false;
    }
    return true;
  });
  system.node(owner).send_signal(SIGCONT);
}
