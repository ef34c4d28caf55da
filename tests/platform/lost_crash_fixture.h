/// @file A system with poison requests, for tests in which all nodes end together with a crash.
#pragma once

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "cluster_queries.h"

namespace frostline::testing {

/// Requests whose body contains this text crash the server that runs them.
inline constexpr char k_poison_text[] = "deadly";
inline constexpr milliseconds k_read_timeout{800};
/// Time after the third crash from which on only a few retries may reach a server.
inline constexpr milliseconds k_propagation_time{3000};
inline constexpr std::size_t k_crashes_allowed = 3;
inline constexpr std::size_t k_retries_allowed = 3;
inline constexpr std::size_t k_tries_after_bound = 12;

struct lost_crash_fixture : public Utest {
  platform_cluster system{with_many_servers()};
  std::size_t next_other = 0;

  void setup() override { system.set_crash_text(k_poison_text); }

  std::size_t crashes() {
    return system.on_platform([&] {
      std::size_t all = 0;
      for (std::size_t index = 0; index < system.apps(); ++index) {
        all += system.app(index).crashes();
      }
      for (std::size_t index = 0; index < system.engines(); ++index) {
        all += system.engine(index).crashes();
      }
      return all;
    });
  }

  bool are_servers_up() {
    return system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        if (system.app(index).is_down()) return false;
      }
      for (std::size_t index = 0; index < system.engines(); ++index) {
        if (system.engine(index).is_down()) return false;
      }
      return true;
    });
  }

  void wait_for_service(std::size_t node) {
    platform_cluster::wait_until("servers are back", [&] { return are_servers_up(); });
    platform_cluster::wait_until("other requests are served", [&] {
      auto const answer = system.call(node, http::verb::post, "/calls/x",
                                      "other-" + std::to_string(next_other++), "b", k_read_timeout);
      return answer && answer.value().result_int() == 200;
    });
  }

  void restart_all_nodes() {
    for (std::size_t node = 0; node < system.nodes(); ++node) system.node(node).kill();
    for (std::size_t node = 0; node < system.nodes(); ++node) system.start_node(node);
    for (std::size_t node = 0; node < system.nodes(); ++node) wait_for_service(node);
  }

  /// Crashes the server that runs the request. @return false if none does.
  bool crash_server_of(std::string const& request) {
    return system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        server_standin& server = system.app(index);
        for (arrival const& entry : server.arrivals()) {
          if (entry.request != request) continue;
          server.crash();
          return true;
        }
      }
      return false;
    });
  }

  void wait_for_propagation(time_point third) {
    platform_cluster::wait_until("the quarantine is in effect",
                                 [&] { return boot_clock::now() > third + k_propagation_time; });
  }

  void call_poison(std::size_t number) {
    // The answer is ignored: the test counts arrivals at the servers.
    static_cast<void>(system.call(number % system.nodes(), http::verb::post, "/once/x",
                                  "deadly-" + std::to_string(number), k_poison_text,
                                  k_read_timeout));
  }

  /// Runs the poison request through all nodes at the same time until three servers have crashed,
  /// restarts all nodes at that moment, and runs it again once the quarantine must be in effect.
  void restart_at_simultaneous_crashes(std::function<void(std::size_t)> const& run_poison) {
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < k_crashes_allowed; ++number) {
      callers.emplace_back(run_poison, number);
    }
    platform_cluster::wait_until("three servers have ended",
                                 [&] { return crashes() >= k_crashes_allowed; });
    time_point const third = boot_clock::now();
    for (std::size_t node = 0; node < system.nodes(); ++node) system.node(node).kill();
    for (std::thread& caller : callers) caller.join();
    for (std::size_t node = 0; node < system.nodes(); ++node) system.start_node(node);
    for (std::size_t node = 0; node < system.nodes(); ++node) wait_for_service(node);
    wait_for_propagation(third);
    for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
      wait_for_service(number % system.nodes());
      run_poison(number);
    }
  }

  bool is_completed(std::string const& job, std::string const& id) {
    auto const listed = system.results(0, job);
    if (!listed) return false;
    for (auto const& entry : listed->at("results").as_array()) {
      auto const& result = entry.as_object();
      if (result.at("id").as_string() == id && result.at("state").as_string() == "completed") {
        return true;
      }
    }
    return false;
  }

  static test_item scored_with_poison(std::string const& id) {
    test_item item{id, "group"};
    item.scorer_path = "/open/score";
    item.scorer_body = k_poison_text;
    return item;
  }

  /// Submits the same poison item in three jobs, kills all nodes at the third crash, and checks
  /// that few crashes follow.
  void check_bound_for_jobs(test_item const& poison) {
    for (char const* job : {"job-1", "job-2", "job-3"}) {
      LONGS_EQUAL(202, system.submit(0, job, {poison}));
    }
    platform_cluster::wait_until("three servers have ended",
                                 [&] { return crashes() >= k_crashes_allowed; });
    for (std::size_t node = 0; node < system.nodes(); ++node) system.node(node).kill();
    std::size_t const before_restart = crashes();
    restart_all_nodes();
    LONGS_EQUAL(202, system.submit(0, "again", {poison, {"harmless", "group"}}));
    platform_cluster::wait_until("samples run", [&] { return is_completed("again", "harmless"); });
    time_point const observed = boot_clock::now() + 2 * k_propagation_time;
    platform_cluster::wait_until("more runs would have begun",
                                 [&] { return boot_clock::now() > observed; });
    CHECK(crashes() <= before_restart + k_retries_allowed);
  }

  /// Submits a job whose sample or scorer's call crashes servers, and kills all nodes at the third
  /// crash.
  void kill_nodes_at_third_crash(test_item const& poison) {
    LONGS_EQUAL(202, system.submit(0, "job", {poison}));
    platform_cluster::wait_until("three servers have ended",
                                 [&] { return crashes() >= k_crashes_allowed; });
    time_point const third = boot_clock::now();
    restart_all_nodes();
    test_item const harmless{"harmless", "group"};
    LONGS_EQUAL(202, system.submit(0, "again", {poison, harmless}));
    wait_for_propagation(third);
    platform_cluster::wait_until("samples run", [&] { return is_completed("again", "harmless"); });
    time_point const observed = boot_clock::now() + k_propagation_time;
    platform_cluster::wait_until("more runs would have begun",
                                 [&] { return boot_clock::now() > observed; });
  }
};

}  // namespace frostline::testing
