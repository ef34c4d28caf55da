/// @file Attempts that end early by the usual response times of their service: repeatable calls are
/// answered by another server, other requests are left alone.

#include <CppUTest/TestHarness.h>

#include <sstream>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

platform_options options_with(std::string const& attempts) {
  platform_options options;
  options.extra_settings = "[balancing]\nattempts = \"" + attempts + "\"\n";
  return options;
}

/// More calls than it takes to meet the silent one of two servers.
constexpr int k_max_calls = 40;

}  // namespace

TEST_GROUP(early_timeouts_test) {
  platform_cluster system{options_with("on")};

  /// Makes calls until the node knows what is usual: 20 measurements, and a token for 10 calls.
  static void show_usual_times(platform_cluster & cluster, std::size_t node) {
    for (int number = 0; number < 30; ++number) {
      auto const answer =
          cluster.call(node, http::verb::get, "/calls/x", "usual-" + std::to_string(number));
      LONGS_EQUAL(200, answer.value().result_int());
    }
  }

  /// Number of servers that a request arrived at.
  static std::size_t arrivals_of(platform_cluster & cluster, std::string const& request) {
    return cluster.on_platform([&] {
      std::size_t count = 0;
      for (std::size_t index = 0; index < cluster.apps(); ++index) {
        for (arrival const& entry : cluster.app(index).arrivals()) {
          count += entry.request == request ? 1 : 0;
        }
      }
      return count;
    });
  }

  static void silence_one_server(platform_cluster & cluster) {
    cluster.on_platform([&] {
      cluster.app(0).faults().silent = true;
      return 0;
    });
  }

  /// Makes calls until one has been sent to both servers. All must be answered.
  /// @return the request id of that call; empty if no call was sent to both.
  static std::string call_until_sent_twice(platform_cluster & cluster, std::size_t node) {
    for (int number = 0; number < k_max_calls; ++number) {
      std::string const request = "silenced-" + std::to_string(number);
      auto const answer = cluster.call(node, http::verb::get, "/calls/x", request);
      LONGS_EQUAL(200, answer.value().result_int());
      if (arrivals_of(cluster, request) == 2) return request;
    }
    return {};
  }

  /// Returns the log lines for failed attempts of a request.
  static std::string failed_attempts(platform_cluster & cluster, std::size_t node,
                                     std::string const& request) {
    std::istringstream log(cluster.log(node));
    std::string found;
    for (std::string line; std::getline(log, line);) {
      bool const matches = line.find("Attempt failed.") != std::string::npos &&
                           line.find("\"" + request + "\"") != std::string::npos;
      if (matches) found += line + "\n";
    }
    return found;
  }

  static bool contains(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
  }
};

// A server turns silent: its calls must not wait for twice the target latency.
TEST(early_timeouts_test, repeatable_call_to_a_silent_server_is_soon_answered_by_the_other) {
  show_usual_times(system, 0);
  silence_one_server(system);
  std::string const request = call_until_sent_twice(system, 0);
  CHECK(!request.empty());
  platform_cluster::wait_until("the attempt is logged", [&] {
    return contains(failed_attempts(system, 0, request), "\"early\":\"yes\"");
  });
}

// A request that is not repeatable may run at most once, however late its answer is.
TEST(early_timeouts_test, request_that_is_not_repeatable_is_sent_once_and_not_ended_early) {
  show_usual_times(system, 0);
  system.on_platform([&] {
    for (std::size_t index = 0; index < 2; ++index) {
      system.app(index).faults().work_time = milliseconds(600);
    }
    return 0;
  });
  auto const answer = system.call(0, http::verb::post, "/once/x", "not-twice", "b");
  LONGS_EQUAL(200, answer.value().result_int());
  LONGS_EQUAL(1, arrivals_of(system, "not-twice"));
  CHECK(!contains(system.log(0), "\"early\":\"yes\""));
}

// Both servers turn silent: early ends must not add attempts beyond the route's three.
TEST(early_timeouts_test, silent_service_gets_no_more_than_the_attempts_of_the_route) {
  show_usual_times(system, 0);
  system.on_platform([&] {
    for (std::size_t index = 0; index < 2; ++index) system.app(index).faults().silent = true;
    return 0;
  });
  auto const answer =
      system.call(0, http::verb::get, "/calls/x", "no-fourth", "", milliseconds(1000));
  LONGS_EQUAL(504, answer.value().result_int());
  LONGS_EQUAL(3, arrivals_of(system, "no-fourth"));
}

// The head of a stream's answer may take longer than complete answers of the same service.
TEST(early_timeouts_test, request_of_a_streaming_route_is_not_ended_early) {
  system.on_platform([&] {
    system.put_config(
        2, R"(,{"name":"events","host":"test.example","path_prefix":"/events/",)"
           R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,)"
           R"("service":"apps","max_attempts":3,"resumable":true})");
    return 0;
  });
  platform_cluster::wait_until("the route is in force", [&] {
    return system.call(0, http::verb::post, "/events/x", "").value().result_int() == 200;
  });
  show_usual_times(system, 0);
  system.on_platform([&] {
    for (std::size_t index = 0; index < 2; ++index) {
      system.app(index).faults().work_time = milliseconds(250);
    }
    return 0;
  });
  auto const answer = system.call(0, http::verb::post, "/events/x", "late-head");
  LONGS_EQUAL(200, answer.value().result_int());
  LONGS_EQUAL(1, arrivals_of(system, "late-head"));
}

// The calls of scorers must not wait for twice the target latency at a silent server.
TEST(early_timeouts_test, calls_of_scorers_to_a_silent_server_end_early) {
  constexpr std::size_t k_samples = 12;
  std::size_t const owner = system.owner();
  show_usual_times(system, owner);
  silence_one_server(system);
  std::vector<test_item> items;
  for (std::size_t index = 0; index < k_samples; ++index) {
    items.push_back({"item-" + std::to_string(index), "group-1"});
  }
  LONGS_EQUAL(202, system.submit(owner, "job-1", items));
  system.wait_for_results(owner, "job-1", k_samples);
  platform_cluster::wait_until("an attempt is logged", [&] {
    for (test_item const& item : items) {
      std::string const lines = failed_attempts(system, owner, "score-" + item.id);
      if (contains(lines, "\"early\":\"yes\"")) return true;
    }
    return false;
  });
}

// Deployments without the feature must keep their limits.
TEST(early_timeouts_test, limit_is_twice_the_target_latency_without_the_feature) {
  platform_cluster unchanged{options_with("auto")};
  show_usual_times(unchanged, 0);
  silence_one_server(unchanged);
  std::string const request = call_until_sent_twice(unchanged, 0);
  CHECK(!request.empty());
  platform_cluster::wait_until("the attempt is logged", [&] {
    std::string const lines = failed_attempts(unchanged, 0, request);
    return contains(lines, "\"limit_ms\":\"300\"") && contains(lines, "\"early\":\"no\"");
  });
}
