/// @file Servers that restart under the same identifier, and foreign records below the key prefixes
/// of the server records and the configuration.

#include <CppUTest/TestHarness.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(server_records_test) {
  platform_cluster system{platform_options()};

  void put(std::string const& key, std::string const& value) {
    system.on_platform([&] {
      system.store().put(key, value);
      return 0;
    });
  }

  bool all_logs_contain(std::string const& text) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (system.log(node).find(text) == std::string::npos) return false;
    }
    return true;
  }

  bool any_log_contains(std::string const& text) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (system.log(node).find(text) != std::string::npos) return true;
    }
    return false;
  }

  static std::string in_force(std::uint64_t version) {
    return "\"message\":\"config: Configuration in force.\",\"version\":\"" +
           std::to_string(version) + "\"";
  }

  /// Writes a configuration change and waits until all nodes have applied it and all earlier
  /// writes.
  void put_config_and_wait(std::uint64_t version) {
    system.on_platform([&] {
      system.put_config(version);
      return 0;
    });
    platform_cluster::wait_until("the next version is in force",
                                 [&] { return all_logs_contain(in_force(version)); });
  }

  void call_everywhere(std::string const& name) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      for (int number = 0; number < 6; ++number) {
        std::string const id = name + std::to_string(node) + "-" + std::to_string(number);
        auto const answer = system.call(node, http::verb::get, "/calls/one", id);
        CHECK(static_cast<bool>(answer));
        LONGS_EQUAL(200, answer.value().result_int());
      }
    }
  }

  /// Crashes the engine and waits until it is back under the same identifier.
  void restart_engine() {
    std::uint64_t const previous_start = system.on_platform([&] {
      system.engine(0).set_keeps_id(true);
      system.engine(0).crash();
      return system.engine(0).born();
    });
    platform_cluster::wait_until("the engine is back", [&] {
      return system.on_platform([&] { return system.engine(0).born() != previous_start; });
    });
  }
};

TEST(server_records_test, orders_to_a_restarted_engine_expect_no_previous_sequence) {
  // Every second version: an engine keeps serving while others load the next one.
  for (std::uint64_t version = 2; version < 4; ++version) {
    system.on_platform([&] {
      system.name_version(version);
      return 0;
    });
    platform_cluster::wait_until("both engines have been ordered", [&] {
      return system.on_platform([&] {
        return system.engine(0).version() + system.engine(1).version() >= 2 * version - 1;
      });
    });
  }
  std::size_t const before = system.on_platform([&] { return system.engine(0).orders().size(); });
  CHECK(before > 0);
  restart_engine();
  for (std::uint64_t version = 4; version < 7; ++version) {
    system.on_platform([&] {
      system.name_version(version);
      return 0;
    });
    platform_cluster::wait_until("engines have been ordered", [&] {
      return system.on_platform([&] {
        return system.engine(0).version() + system.engine(1).version() >= 2 * version - 1;
      });
    });
  }
  CHECK(before < system.on_platform([&] { return system.engine(0).orders().size(); }));
  LONGS_EQUAL(0, system.on_platform([&] { return system.engine(0).conflicting_orders(); }));
}

TEST(server_records_test, all_nodes_distinguish_incarnations_of_a_server) {
  restart_engine();
  platform_cluster::wait_until("all know of the new incarnation",
                               [&] { return all_logs_contain("Server started again."); });
}

TEST(server_records_test, late_record_of_a_previous_incarnation_is_ignored) {
  std::string const previous_record =
      system.on_platform([&] { return system.engine(0).record("draining"); });
  restart_engine();
  put("servers/" + system.engine(0).id(), previous_record);
  put_config_and_wait(2);
  CHECK_FALSE(any_log_contains("Server drains."));
  // The record of the new incarnation takes effect.
  system.on_platform([&] {
    system.announce(system.engine(0), "draining");
    return 0;
  });
  platform_cluster::wait_until("all know of the drain",
                               [&] { return all_logs_contain("Server drains."); });
}

TEST(server_records_test, records_of_other_writers_are_ignored) {
  std::string const address = "\"address\":\"127.0.0.1:9\",\"zone\":\"a\",";
  put("servers/foreign-1", std::string("\xff\x00\x01", 3));
  put("servers/foreign-2", "[]");
  put("servers/foreign-3", "{\"service\":\"apps\"," + address +
                               "\"slots\":\"many\",\"state\":\"ready\",\"sequence\":1}");
  put("servers/foreign-4",
      "{\"service\":\"apps\"," + address + "\"slots\":8,\"state\":\"asleep\",\"sequence\":1}");
  put("servers/foreign-5", "{" + address + "\"slots\":8,\"state\":\"ready\",\"sequence\":1}");
  put("servers/foreign-6",
      "{\"service\":\"apps\"," + address + "\"slots\":8,\"state\":\"ready\",\"sequence\":-1}");
  put("servers/foreign-7",
      "{\"service\":\"apps\"," + address +
          "\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"born\":\"today\"}");
  put("servers/foreign-8",
      "{\"service\":[\"apps\"]," + address + "\"slots\":8,\"state\":\"ready\",\"sequence\":1}");
  put_config_and_wait(2);
  call_everywhere("call-");
  // A node that lists all records at its start ignores them, too.
  system.node(1).kill();
  system.start_node(1);
  platform_cluster::wait_until("the node is ready", [&] { return system.is_ready(1); });
  call_everywhere("again-");
  CHECK_FALSE(any_log_contains("\"server\":\"foreign-"));
}

TEST(server_records_test, record_overwritten_by_another_writer_removes_the_server) {
  std::string const id = system.app(0).id();
  put("servers/" + id, "spoiled");
  platform_cluster::wait_until("all know", [&] {
    return all_logs_contain("\"message\":\"directory: Server gone.\",\"server\":\"" + id);
  });
  call_everywhere("call-");
}

TEST(server_records_test, records_next_to_the_configuration_are_ignored) {
  put("op/config-draft", R"({"version":90,"routes":[],"services":[],"limits":{}})");
  put("op/config.old", "not a configuration");
  put_config_and_wait(2);
  CHECK_FALSE(any_log_contains(in_force(90)));
  CHECK_FALSE(any_log_contains("Configuration is malformed"));
  call_everywhere("call-");
}

TEST(server_records_test, request_that_repeatedly_crashes_the_same_servers_is_quarantined) {
  system.on_platform([&] {
    for (std::size_t app = 0; app < system.apps(); ++app) system.app(app).set_keeps_id(true);
    return 0;
  });
  system.set_crash_text("deadly");
  auto const crashes = [&] {
    return system.on_platform([&] { return system.app(0).crashes() + system.app(1).crashes(); });
  };
  std::uint64_t tries = 0;
  auto const is_refused = [&] {
    ++tries;
    auto const answer = system.call(tries % system.nodes(), http::verb::get, "/calls/one",
                                    "deadly-" + std::to_string(tries), "deadly");
    return answer && answer.value().body().find("quarantined") != std::string::npos;
  };
  platform_cluster::wait_until("it is refused", is_refused);
  std::uint32_t const before = crashes();
  // At least two incarnations of each server: there have never been three servers.
  CHECK(before >= 3);
  platform_cluster::wait_until("all nodes refuse it",
                               [&] { return is_refused() && is_refused() && is_refused(); });
  CHECK(crashes() <= before + 3);
  system.set_crash_text("");
}
