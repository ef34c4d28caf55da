/// @file Orders to model servers: distance between owners, fences, lost answers and store outages.

#include <CppUTest/TestHarness.h>

#include <map>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(orders_test) {
  platform_cluster system{platform_options()};

  std::vector<order_arrival> orders() {
    return system.on_platform([&] {
      std::vector<order_arrival> all;
      for (std::size_t index = 0; index < system.engines(); ++index) {
        auto const& some = system.engine(index).orders();
        all.insert(all.end(), some.begin(), some.end());
      }
      return all;
    });
  }

  void publish_version(std::uint64_t version) {
    system.on_platform([&] {
      system.name_version(version);
      return 0;
    });
  }

  std::size_t engines_at_least(std::uint64_t version) {
    return system.on_platform([&] {
      std::size_t count = 0;
      for (std::size_t index = 0; index < system.engines(); ++index) {
        if (system.engine(index).version() >= version) ++count;
      }
      return count;
    });
  }
};

TEST(orders_test, engines_take_turns_so_that_each_version_finds_some_of_them) {
  publish_version(2);
  platform_cluster::wait_until("one engine has version 2",
                               [&] { return engines_at_least(2) == 1; });
  publish_version(3);
  platform_cluster::wait_until("both engines serve version 3's jobs",
                               [&] { return engines_at_least(2) == 2; });
  for (order_arrival const& entry : orders()) CHECK(entry.version >= 2);
}

TEST(orders_test, lost_answer_of_an_order_does_not_stop_the_next_version) {
  system.on_platform([&] {
    system.engine(0).faults().lost_orders = 1;
    system.engine(1).faults().lost_orders = 1;
    return 0;
  });
  publish_version(2);
  publish_version(3);
  platform_cluster::wait_until("both engines serve version 3's jobs",
                               [&] { return engines_at_least(2) == 2; });
}

TEST(orders_test, orders_of_two_owners_keep_their_distance_and_fences_rise) {
  publish_version(2);
  platform_cluster::wait_until("one engine has version 2",
                               [&] { return engines_at_least(2) == 1; });
  system.node(system.owner()).kill();
  publish_version(3);
  platform_cluster::wait_until("both engines serve version 3's jobs",
                               [&] { return engines_at_least(2) == 2; });
  auto all = orders();
  std::sort(all.begin(), all.end(), [](order_arrival const& left, order_arrival const& right) {
    return left.at < right.at;
  });
  for (std::size_t place = 1; place < all.size(); ++place) {
    order_arrival const& before = all[place - 1];
    order_arrival const& after = all[place];
    CHECK(after.fence >= before.fence);
    if (after.holder == before.holder) continue;
    CHECK(after.fence > before.fence);
    CHECK(after.at - before.at >= milliseconds(300));
  }
}

TEST(orders_test, owner_reads_what_operators_ask_for_again_after_an_outage) {
  platform_cluster system{platform_options()};
  std::size_t const owner = system.owner();
  system.on_platform([&] {
    system.store().faults().silent = true;
    return 0;
  });
  platform_cluster::wait_until("the outage is noticed", [&] {
    return system.log(owner).find("Record store does not answer") != std::string::npos;
  });
  system.on_platform([&] {
    system.store().faults().silent = false;
    return 0;
  });
  // A watch from before the outage may be dead without an error.
  platform_cluster::wait_until("requests are read again", [&] {
    return system.log(owner).find("Reading what operators ask for again") != std::string::npos;
  });
}
