/// @file Guards against uncounted crashes when a server crashes and restarts while the calling node
/// is suspended: a listening process may be a new incarnation of the server.

#include <CppUTest/TestHarness.h>

#include <future>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_poison_text[] = "deadly";
constexpr milliseconds k_read_timeout{800};
/// Time from the call's arrival to the crash; the node is suspended by then.
constexpr milliseconds k_crash_after{150};
/// The caller disconnects during the node's suspension, or still waits when it resumes.
constexpr milliseconds k_short_read_timeout{250};
constexpr milliseconds k_long_read_timeout{4000};
/// Time after the third crash from which on only a few retries may reach a server.
constexpr milliseconds k_propagation_time{3000};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::size_t k_retries_allowed = 3;
constexpr std::size_t k_tries_after_bound = 12;

platform_options with_suspension() {
  platform_options options;
  options.apps = 4;
  options.zones = 3;
  options.suspendable = true;
  return options;
}

}  // namespace

TEST_GROUP(suspended_crash_test) {
  platform_cluster system{with_suspension()};
  std::size_t next_other = 0;

  void setup() override {
    system.set_crash_text(k_poison_text);
    system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        system.app(index).faults().crash_after = k_crash_after;
      }
      return 0;
    });
  }

  std::size_t crashes() {
    return system.on_platform([&] {
      std::size_t all = 0;
      for (std::size_t index = 0; index < system.apps(); ++index) {
        all += system.app(index).crashes();
      }
      return all;
    });
  }

  bool are_servers_up() {
    return system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        if (system.app(index).is_down()) return false;
      }
      return true;
    });
  }

  void wait_for_service(std::size_t node) {
    platform_cluster::wait_until("other requests are served", [&] {
      auto const answer = system.call(node, http::verb::post, "/calls/x",
                                      "other-" + std::to_string(next_other++), "b", k_read_timeout);
      return answer && answer.value().result_int() == 200;
    });
  }

  /// Lets a server crash under a call of a suspended node and restart before the node resumes.
  void crash_server_while_suspended(std::size_t node, milliseconds read_timeout) {
    std::size_t const before = crashes();
    std::string const id = "slept-" + std::to_string(before);
    auto call = std::async(std::launch::async, [&] {
      system.call_and_disconnect(node, "/once/x", id, k_poison_text, read_timeout);
    });
    platform_cluster::wait_until("the call is at a server",
                                 [&] { return count_arrivals(system, id) > 0; });
    system.suspend(node);
    time_point const caller_left = boot_clock::now() + k_short_read_timeout;
    platform_cluster::wait_until("its server is back", [&] {
      return crashes() > before && are_servers_up() && boot_clock::now() > caller_left;
    });
    system.resume(node);
    call.wait();
    wait_for_service(node);
  }

  void crash_three_servers_while_suspended(milliseconds read_timeout) {
    for (std::size_t number = 0; number < k_crashes_allowed; ++number) {
      crash_server_while_suspended(number % system.nodes(), read_timeout);
    }
  }

  /// Repeats the request after the quarantine takes effect. @return number of further crashes.
  std::size_t late_crashes() {
    time_point const bound = boot_clock::now() + k_propagation_time;
    platform_cluster::wait_until("the quarantine is in effect",
                                 [&] { return boot_clock::now() > bound; });
    std::size_t const before = crashes();
    for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
      std::size_t const node = number % system.nodes();
      wait_for_service(node);
      // The answer is ignored: the test counts arrivals at the servers.
      static_cast<void>(system.call(node, http::verb::post, "/once/x",
                                    "late-" + std::to_string(number), k_poison_text,
                                    k_read_timeout));
      platform_cluster::wait_until("servers are back", [&] { return are_servers_up(); });
    }
    return crashes() - before;
  }
};

TEST(suspended_crash_test, crashes_count_after_callers_disconnected) {
  crash_three_servers_while_suspended(k_short_read_timeout);
  LONGS_EQUAL(3, crashes());
  CHECK(late_crashes() <= k_retries_allowed);
}

TEST(suspended_crash_test, crashes_count_while_callers_wait) {
  crash_three_servers_while_suspended(k_long_read_timeout);
  LONGS_EQUAL(3, crashes());
  CHECK(late_crashes() <= k_retries_allowed);
}

TEST(suspended_crash_test, calls_are_served_after_planned_restarts) {
  system.set_crash_text("");
  for (std::size_t number = 0; number < k_crashes_allowed; ++number) {
    system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        system.app(index).faults().work_time = milliseconds(20);
        system.app(index).crash();
      }
      return 0;
    });
    platform_cluster::wait_until("servers are back", [&] { return are_servers_up(); });
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      system.call_and_disconnect(node, "/calls/x", "left-" + std::to_string(next_other++), "b",
                                 milliseconds(10));
    }
    wait_for_service(number % system.nodes());
  }
  time_point const bound = boot_clock::now() + k_propagation_time;
  platform_cluster::wait_until("a record would be in force",
                               [&] { return boot_clock::now() > bound; });
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    auto const answer =
        system.call(node, http::verb::post, "/calls/x", "again-" + std::to_string(node), "b");
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer.value().result_int());
  }
}
