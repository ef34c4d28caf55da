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

/// The limit of an attempt without measurements: twice the target latency of the route.
constexpr milliseconds k_usual_limit{300};

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

  /// Silences the server of the node's last call, which its next call goes to.
  static void silence_preferred_server(platform_cluster & cluster) {
    cluster.on_platform([&] {
      auto const& other = cluster.app(1).arrivals();
      auto const& first = cluster.app(0).arrivals();
      bool const is_first = other.empty() || (!first.empty() && first.back().at > other.back().at);
      cluster.app(is_first ? 0 : 1).faults().silent = true;
      return 0;
    });
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
  silence_preferred_server(system);
  time_point const begin = boot_clock::now();
  auto const answer = system.call(0, http::verb::get, "/calls/x", "silenced");
  CHECK(boot_clock::now() - begin < k_usual_limit);
  LONGS_EQUAL(200, answer.value().result_int());
  LONGS_EQUAL(2, arrivals_of(system, "silenced"));
  platform_cluster::wait_until("the attempt is logged", [&] {
    return contains(failed_attempts(system, 0, "silenced"), "\"early\":\"yes\"");
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

// The call of a scorer must not wait for twice the target latency at a silent server.
TEST(early_timeouts_test, call_of_a_scorer_to_a_silent_server_ends_early) {
  std::size_t const owner = system.owner();
  show_usual_times(system, owner);
  silence_preferred_server(system);
  LONGS_EQUAL(202, system.submit(owner, "job-1", {{"item-1", "group-1"}}));
  system.wait_for_results(owner, "job-1", 1);
  platform_cluster::wait_until("the attempt is logged", [&] {
    return contains(failed_attempts(system, owner, "score-item-1"), "\"early\":\"yes\"");
  });
}

// Deployments without the feature must keep their limits.
TEST(early_timeouts_test, limit_is_twice_the_target_latency_without_the_feature) {
  platform_cluster unchanged{options_with("auto")};
  show_usual_times(unchanged, 0);
  silence_preferred_server(unchanged);
  auto const answer = unchanged.call(0, http::verb::get, "/calls/x", "silenced");
  LONGS_EQUAL(200, answer.value().result_int());
  platform_cluster::wait_until("the attempt is logged", [&] {
    std::string const lines = failed_attempts(unchanged, 0, "silenced");
    return contains(lines, "\"limit_ms\":\"300\"") && contains(lines, "\"early\":\"no\"");
  });
}
