/// @file Record changes must reach all nodes through the relays of their zones, and also without a
/// relay.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <algorithm>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

platform_options two_zones() {
  platform_options options;
  options.nodes = 6;
  options.zones = 2;
  options.proxied_store = true;
  return options;
}

}  // namespace

TEST_GROUP(relay_test) {
  platform_cluster system{two_zones()};

  /// Returns the number of watches below a prefix that were answered with changes.
  std::uint64_t answered_watches(std::string const& prefix) {
    return system.on_platform([&] { return system.store().answered_watches(prefix); });
  }

  void put_config(std::uint64_t version) {
    system.on_platform([&] {
      system.put_config(version);
      return 0;
    });
  }

  void drain(std::size_t app) {
    system.on_platform([&] {
      system.announce(system.app(app), "draining");
      return 0;
    });
  }

  void withdraw(std::size_t app) {
    system.on_platform([&] {
      system.withdraw(system.app(app));
      return 0;
    });
  }

  /// Waits until only the owner watches the servers' records. A relay whose owner had just started
  /// follows the store as well for a while, and its watch lasts until the next change.
  void wait_until_relays_follow_the_owner() {
    constexpr int settled_looks = 20;
    int looks = 0;
    platform_cluster::wait_until("only the owner watches the servers", [&] {
      std::size_t const waiting =
          system.on_platform([&] { return system.store().waiting_watches("servers/"); });
      looks = waiting == 1 ? looks + 1 : 0;
      if (waiting > 1) drain(0);
      return looks >= settled_looks;
    });
  }

  bool all_logs_contain(std::string const& text, std::vector<std::size_t> const& but = {}) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (std::find(but.begin(), but.end(), node) != but.end()) continue;
      if (system.log(node).find(text) == std::string::npos) return false;
    }
    return true;
  }

  static std::string in_force(std::uint64_t version) {
    return "\"message\":\"config: Configuration in force.\",\"version\":\"" +
           std::to_string(version) + "\"";
  }

  /// Returns true if a node watches the store directly although it is no relay, as it does until a
  /// relay answers it.
  bool follows_directly(std::size_t node) {
    std::string const log = system.log(node);
    std::size_t const last = log.rfind("relay: Role in passing records on changes.");
    if (last == std::string::npos) return false;
    std::string const line = log.substr(last, log.find('\n', last) - last);
    return line.find("\"role\":\"direct\"") != std::string::npos;
  }

  bool any_follows_directly() {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (follows_directly(node)) return true;
    }
    return false;
  }

  /// Waits until each zone has a relay, all other nodes are served by one, and a change has ended
  /// their earlier direct watches.
  void settle() {
    system.relay(0);
    system.relay(1);
    system.owner();
    platform_cluster::wait_until("all nodes serve",
                                 [&] { return all_logs_contain("gateway: Serving."); });
    platform_cluster::wait_until("no node follows the store that is no relay",
                                 [&] { return !any_follows_directly(); });
    put_config(2);
    platform_cluster::wait_until("version 2 is in force",
                                 [&] { return all_logs_contain(in_force(2)); });
    drain(0);
    platform_cluster::wait_until("all know of the drain",
                                 [&] { return all_logs_contain("Server drains"); });
  }
};

TEST(relay_test, changes_cost_a_call_for_each_zone_and_not_for_each_node) {
  settle();
  std::uint64_t const before = answered_watches("op/config");
  put_config(3);
  platform_cluster::wait_until("version 3 is in force",
                               [&] { return all_logs_contain(in_force(3)); });
  // The owner sees the change below the operators' prefix.
  LONGS_EQUAL(before + 2, answered_watches("op/config"));
  wait_until_relays_follow_the_owner();
  std::uint64_t const servers_before = answered_watches("servers/");
  withdraw(0);
  platform_cluster::wait_until("all know that it is gone",
                               [&] { return all_logs_contain("Server gone"); });
  LONGS_EQUAL(servers_before + 1, answered_watches("servers/"));
}

TEST(relay_test, change_is_in_force_in_time_while_a_relay_is_stopped) {
  settle();
  std::size_t const relay = system.relay(0);
  system.node(relay).send_signal(SIGSTOP);
  time_point const begin = boot_clock::now();
  put_config(3);
  withdraw(0);
  platform_cluster::wait_until("the others know", [&] {
    return all_logs_contain(in_force(3), {relay}) && all_logs_contain("Server gone", {relay});
  });
  CHECK(boot_clock::now() - begin < seconds(2));
  platform_cluster::wait_until("another node relays",
                               [&] { return system.find_relay(0).value_or(relay) != relay; });
  system.node(relay).send_signal(SIGCONT);
  platform_cluster::wait_until("it knows, too", [&] { return all_logs_contain(in_force(3)); });
}

TEST(relay_test, change_is_in_force_in_time_while_a_relay_is_cut_off_from_the_store) {
  settle();
  std::size_t const relay = system.relay(1);
  proxy_faults cut;
  cut.stall = true;
  system.store_proxy(relay).set(cut);
  time_point const begin = boot_clock::now();
  put_config(3);
  platform_cluster::wait_until("all know, the relay among them",
                               [&] { return all_logs_contain(in_force(3)); });
  CHECK(boot_clock::now() - begin < seconds(2));
}

TEST(relay_test, killed_relays_restart_or_are_replaced) {
  settle();
  for (std::uint32_t zone = 0; zone < 2; ++zone) {
    std::size_t const relay = system.relay(zone);
    system.node(relay).kill();
    system.start_node(relay);
  }
  put_config(3);
  platform_cluster::wait_until("version 3 is in force",
                               [&] { return all_logs_contain(in_force(3)); });
  put_config(4);
  platform_cluster::wait_until("version 4 is in force",
                               [&] { return all_logs_contain(in_force(4)); });
}

TEST(relay_test, node_that_starts_while_the_store_is_out_serves_what_was_last_known) {
  settle();
  system.on_platform([&] {
    system.store().faults().silent = true;
    return 0;
  });
  std::size_t node = 1;
  while (node == system.owner() || node == system.relay(0) || node == system.relay(1)) ++node;
  system.node(node).kill();
  system.start_node(node);
  platform_cluster::wait_until("it is ready", [&] { return system.is_ready(node); });
  CHECK(system.log(node).find(in_force(2)) != std::string::npos);
  auto const answer = system.call(node, http::verb::get, "/calls/one", "call-1");
  CHECK(static_cast<bool>(answer));
  LONGS_EQUAL(200, answer.value().result_int());
}

TEST(relay_test, servers_whose_records_lapsed_in_an_outage_serve_on_if_they_come_back) {
  settle();
  system.on_platform([&] {
    system.store().faults().silent = true;
    return 0;
  });
  std::size_t const relay = system.relay(0);
  platform_cluster::wait_until("the outage is noticed", [&] {
    return system.log(relay).find("Record store does not answer") != std::string::npos;
  });
  system.on_platform([&] {
    system.withdraw(system.app(1));
    for (std::size_t engine = 0; engine < system.engines(); ++engine) {
      system.withdraw(system.engine(engine));
    }
    system.store().faults().silent = false;
    return 0;
  });
  platform_cluster::wait_until("it is waited for", [&] {
    return all_logs_contain("Server's record went with the store; waiting for it.");
  });
  // App 0 has been draining since settle(), so no other server can take this call.
  auto const answer = system.call(2, http::verb::get, "/calls/one", "call-1");
  CHECK(static_cast<bool>(answer));
  LONGS_EQUAL(200, answer.value().result_int());
  system.on_platform([&] {
    system.announce(system.app(1), "ready");
    return 0;
  });
  // The engines' records were not written again, so the engines are removed.
  platform_cluster::wait_until("engines are gone", [&] { return all_logs_contain("Server gone"); });
  std::string const app = "\"Server gone.\",\"server\":\"" + system.app(1).id();
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    CHECK(system.log(node).find(app) == std::string::npos);
  }
}
