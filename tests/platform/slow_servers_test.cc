/// @file Selection of servers by their measured pace, with a real gateway.

#include <CppUTest/TestHarness.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(slow_servers_test) {
  platform_cluster system{[] {
    platform_options options;
    options.nodes = 1;
    options.extra_settings = "[balancing]\nslow_servers = \"on\"\n";
    return options;
  }()};
  std::size_t number = 0;

  /// Longer than half of the route's target, so that no server is preferred for its warm
  /// connection.
  static constexpr milliseconds k_usual_work{80};
  static constexpr milliseconds k_slow_work{240};

  void set_work_times(milliseconds first, milliseconds second) {
    system.on_platform([&] {
      system.app(0).faults().work_time = first;
      system.app(1).faults().work_time = second;
      return 0;
    });
  }

  /// Sends calls one after the other. @return how many of them arrived at the first server.
  std::size_t calls_of_first_server(std::size_t count) {
    auto const arrived = [&] {
      return system.on_platform([&] { return system.app(0).arrivals().size(); });
    };
    std::size_t const before = arrived();
    for (std::size_t call = 0; call < count; ++call) {
      std::string const id = "pace-" + std::to_string(number++);
      LONGS_EQUAL(200, system.call(0, http::verb::get, "/calls/x", id).value().result_int());
    }
    return arrived() - before;
  }

  bool is_logged(std::string const& text) { return system.log(0).find(text) != std::string::npos; }
};

TEST(slow_servers_test, most_calls_go_to_the_fast_server_until_the_slow_one_has_recovered) {
  set_work_times(k_slow_work, k_usual_work);
  platform_cluster::wait_until("the slow server is on probation", [&] {
    calls_of_first_server(2);
    return is_logged("put on probation");
  });
  // Without measurements, half of them.
  CHECK(calls_of_first_server(40) <= 10);
  set_work_times(k_usual_work, k_usual_work);
  platform_cluster::wait_until("the recovered server is used",
                               [&] { return calls_of_first_server(20) >= 5; });
  CHECK(is_logged("released from probation"));
}

TEST(slow_servers_test, load_reports_of_servers_are_read) {
  set_work_times(k_usual_work, k_usual_work);
  system.on_platform([&] {
    system.app(0).faults().load_report = "0,0,8,1000";
    return 0;
  });
  platform_cluster::wait_until("the report puts the server on probation", [&] {
    calls_of_first_server(2);
    return is_logged("load report");
  });
}

TEST(slow_servers_test, failing_server_is_avoided_and_every_call_is_answered) {
  set_work_times(k_usual_work, k_usual_work);
  system.on_platform([&] {
    system.app(0).faults().failures = 1000;
    return 0;
  });
  platform_cluster::wait_until("its failures put the server on probation", [&] {
    calls_of_first_server(2);
    return is_logged("\"cause\":\"failures\"");
  });
  CHECK(calls_of_first_server(20) <= 2);
}

TEST(slow_servers_test, server_that_answers_nothing_is_put_on_probation_by_its_late_attempts) {
  set_work_times(k_usual_work, k_usual_work);
  calls_of_first_server(4);
  system.on_platform([&] {
    system.app(0).faults().silent = true;
    return 0;
  });
  platform_cluster::wait_until("the silent server is on probation", [&] {
    calls_of_first_server(2);
    return is_logged("put on probation");
  });
}
