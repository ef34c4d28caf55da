/// @file Guards against stale configuration after open connections go silent without a reset, or
/// after the store stops answering waiting watches.

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// Each zone has its own relay, and each relay its own watch.
platform_options three_zones() {
  platform_options options;
  options.nodes = 6;
  options.zones = 3;
  return options;
}

/// Maximum time in which acknowledged changes must take effect on all nodes, even if connections
/// were lost without a reset.
constexpr seconds k_max_propagation_time{3};
/// Maximum latency of a call that servers answer within milliseconds; a dead connection may cost
/// one attempt.
constexpr milliseconds k_max_latency{700};
/// The route's target latency.
constexpr milliseconds k_target_latency{150};

}  // namespace

TEST_GROUP(silent_connections_test) {
  platform_cluster system{three_zones()};

  template <class Work>
  void on_platform(Work work) {
    system.on_platform([&] {
      work();
      return 0;
    });
  }

  bool all_logs_contain(std::string const& text) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (system.log(node).find(text) == std::string::npos) return false;
    }
    return true;
  }

  static std::string in_force(std::uint64_t version) {
    return "\"message\":\"config: Configuration in force.\",\"version\":\"" +
           std::to_string(version) + "\"";
  }

  static std::string route(std::string const& prefix) {
    return R"(,{"name":"added","host":"test.example","path_prefix":"/)" + prefix +
           R"(/","kind":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":2,)" +
           R"("service":"apps","max_attempts":3})";
  }

  /// Waits until each zone has a relay, the pool has an owner, all nodes have applied a change, and
  /// the watches for the next one are waiting at the store.
  void settle() {
    for (std::uint32_t zone = 0; zone < 3; ++zone) system.relay(zone);
    system.owner();
    on_platform([&] { system.put_config(2); });
    platform_cluster::wait_until("version 2 is in force",
                                 [&] { return all_logs_contain(in_force(2)); });
    platform_cluster::wait_until("watches wait", [&] {
      return system.on_platform([&] {
        store_standin& store = system.store();
        return store.waiting_watches("op/config") >= 3 && store.waiting_watches("op/") >= 1 &&
               store.waiting_watches("servers/") >= 1;
      });
    });
  }

  void add_route_and_wait() {
    on_platform([&] { system.put_config(3, route("added")); });
    platform_cluster::wait_until("version 3 is in force",
                                 [&] { return all_logs_contain(in_force(3)); });
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      auto const answer =
          system.call(node, http::verb::get, "/added/one", "added-" + std::to_string(node));
      CHECK(static_cast<bool>(answer));
      LONGS_EQUAL(200, answer.value().result_int());
    }
  }

  /// Opens `count` keep-alive connections from each node to the application servers.
  void keep_connections(std::size_t count) {
    on_platform([&] {
      for (std::size_t app = 0; app < system.apps(); ++app) {
        system.app(app).faults().work_time = milliseconds(100);
      }
    });
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      std::vector<std::thread> callers;
      for (std::size_t number = 0; number < count; ++number) {
        callers.emplace_back([this, node, number] {
          auto const answer =
              system.call(node, http::verb::get, "/calls/warm",
                          "warm-" + std::to_string(node) + "-" + std::to_string(number));
          CHECK(static_cast<bool>(answer));
        });
      }
      for (std::thread& caller : callers) caller.join();
    }
    on_platform([&] {
      for (std::size_t app = 0; app < system.apps(); ++app) {
        system.app(app).faults().work_time = milliseconds(0);
      }
    });
  }

  /// Makes sequential calls at one node. @return the latency of each.
  std::vector<milliseconds> timed_calls(std::size_t node, std::size_t count) {
    std::vector<milliseconds> times;
    for (std::size_t number = 0; number < count; ++number) {
      time_point const begin = boot_clock::now();
      auto const answer =
          system.call(node, http::verb::get, "/calls/one",
                      "call-" + std::to_string(node) + "-" + std::to_string(number));
      CHECK(static_cast<bool>(answer));
      LONGS_EQUAL(200, answer.value().result_int());
      times.push_back(milliseconds(milliseconds_since(begin)));
    }
    return times;
  }
};

TEST(silent_connections_test, change_is_in_force_in_time_without_silence) {
  settle();
  time_point const begin = boot_clock::now();
  add_route_and_wait();
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test,
     change_is_in_force_in_time_after_connections_to_the_store_went_silent) {
  settle();
  time_point const begin = boot_clock::now();
  CHECK(system.silence_connections(connected_part::store) > 0);
  add_route_and_wait();
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test,
     change_is_in_force_in_time_though_waiting_watches_are_never_answered) {
  settle();
  time_point const begin = boot_clock::now();
  on_platform([&] { CHECK(system.store().stall_watches() > 0); });
  add_route_and_wait();
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test, change_is_in_force_in_time_after_all_connections_went_silent) {
  settle();
  time_point const begin = boot_clock::now();
  CHECK(system.silence_connections(connected_part::all) > 0);
  add_route_and_wait();
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test, change_is_in_force_in_time_after_connections_of_nodes_went_silent) {
  settle();
  time_point const begin = boot_clock::now();
  CHECK(system.silence_connections(connected_part::nodes) > 0);
  add_route_and_wait();
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test,
     server_that_leaves_gets_nothing_more_though_watches_are_never_answered) {
  settle();
  time_point const begin = boot_clock::now();
  on_platform([&] {
    CHECK(system.store().stall_watches() > 0);
    system.announce(system.app(0), "draining");
  });
  platform_cluster::wait_until("all know of the drain",
                               [&] { return all_logs_contain("Server drains"); });
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test, version_is_ordered_in_time_though_watches_are_never_answered) {
  settle();
  time_point const begin = boot_clock::now();
  on_platform([&] {
    CHECK(system.store().stall_watches() > 0);
    system.name_version(2);
  });
  platform_cluster::wait_until("an engine is ordered", [&] {
    return system.on_platform(
        [&] { return !system.engine(0).orders().empty() || !system.engine(1).orders().empty(); });
  });
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}

TEST(silent_connections_test, dead_connections_to_servers_delay_few_calls) {
  settle();
  keep_connections(8);
  CHECK(system.silence_connections(connected_part::servers) > 0);
  // One attempt per server may hit a dead connection; later attempts avoid it.
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    auto const times = timed_calls(node, 12);
    CHECK(*std::max_element(times.begin(), times.end()) < k_max_latency);
    auto const late = std::count_if(times.begin(), times.end(),
                                    [](milliseconds time) { return time > k_target_latency; });
    CHECK(static_cast<std::size_t>(late) <= system.apps());
  }
}

TEST(silent_connections_test, job_is_answered_at_all_nodes_after_all_connections_went_silent) {
  settle();
  LONGS_EQUAL(202, system.submit(system.owner(), "job-1", {{"item-1", "group-1"}}));
  system.wait_for_results(system.owner(), "job-1", 1);
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    LONGS_EQUAL(200, system.results_status(node, "job-1"));
  }
  time_point const begin = boot_clock::now();
  CHECK(system.silence_connections(connected_part::all) > 0);
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    platform_cluster::wait_until("the results are listed",
                                 [&] { return system.results_status(node, "job-1") == 200; });
  }
  CHECK(boot_clock::now() - begin < k_max_propagation_time);
}
