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

  void set_silent_store(bool silent) {
    system.on_platform([&] {
      system.store().faults().silent = silent;
      return 0;
    });
  }

  /// Waits until a node's log contains `text`.
  void wait_for_log(std::size_t node, std::string const& text) {
    platform_cluster::wait_until(text,
                                 [&] { return system.log(node).find(text) != std::string::npos; });
  }

  /// Returns true if a node that did not own the pool before the outage has acquired it, and has
  /// read what operators ask for since.
  bool is_read_by_new_owner(std::size_t former_owner) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      std::string const log = system.log(node);
      std::size_t const begin = node == former_owner ? log.find("Ownership lost") : 0;
      if (begin == std::string::npos) continue;
      std::size_t const acquired = log.find("Ownership acquired", begin);
      if (acquired == std::string::npos) continue;
      std::size_t const loaded = log.find("Records loaded", acquired);
      if (loaded != std::string::npos && log.find(R"("prefix":"op/")", loaded) != std::string::npos)
        return true;
    }
    return false;
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

// A watch from before the outage may be dead without an error. The owner's lease may lapse before
// the store answers again: then it is not the owner that reads again, but the next one.
TEST(orders_test, owner_reads_what_operators_ask_for_again_after_an_outage) {
  std::size_t const owner = system.owner();
  set_silent_store(true);
  wait_for_log(owner, "Record store does not answer");
  set_silent_store(false);
  platform_cluster::wait_until("requests are read again", [&] {
    bool const read_again =
        system.log(owner).find("Reading what operators ask for again") != std::string::npos;
    return read_again || is_read_by_new_owner(owner);
  });
}

TEST(orders_test, new_owner_reads_what_operators_ask_for_after_an_outage) {
  std::size_t const owner = system.owner();
  set_silent_store(true);
  wait_for_log(owner, "Record store does not answer");
  system.on_platform([&] {
    // The lease lapses.
    system.store().remove("frostline/owners/engines");
    return 0;
  });
  set_silent_store(false);
  platform_cluster::wait_until("requests are read", [&] { return is_read_by_new_owner(owner); });
}
