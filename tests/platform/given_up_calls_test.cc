/// @file Requests of gateway processes that are given up while their servers are cut off. Guards
/// against requests that reach a server after the partition, seconds after their client left, their
/// job ended or their gateway was killed.

#include <CppUTest/TestHarness.h>

#include <thread>

#include "link_cut.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_client_patience{300};
/// Calls on this route are sent once, and wait for the whole time that a scorer's call has.
constexpr char k_scorer_route[] =
    R"(,{"name":"score-once","host":"test.example","path_prefix":"/score-once/","kind":"safe",)"
    R"("timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"apps","max_attempts":1})";

}  // namespace

TEST_GROUP(given_up_calls_test) {
  platform_cluster system{platform_options()};

  std::vector<endpoint> addresses_of_apps() {
    std::vector<endpoint> addresses;
    for (std::size_t app = 0; app < system.apps(); ++app) {
      addresses.push_back(system.app(app).address());
    }
    return addresses;
  }

  std::vector<endpoint> addresses_of_engines() {
    std::vector<endpoint> addresses;
    for (std::size_t engine = 0; engine < system.engines(); ++engine) {
      addresses.push_back(system.engine(engine).address());
    }
    return addresses;
  }

  /// Sockets of the stand-ins are opened and closed on their own thread.
  std::unique_ptr<link_cut> cut(std::vector<endpoint> const& addresses) {
    return system.on_platform([&] { return std::make_unique<link_cut>(addresses); });
  }

  /// Heals the path, and waits until no kernel sends anything to these servers any more.
  void heal(link_cut & path, std::vector<endpoint> const& addresses) {
    system.on_platform([&] {
      path.heal();
      return 0;
    });
    for (endpoint const& address : addresses) {
      platform_cluster::wait_until("nothing is under way",
                                   [&] { return unacknowledged_bytes(address) == 0; });
    }
  }

  std::size_t arrivals_of(std::string const& request) {
    return system.on_platform([&] {
      std::size_t arrivals = 0;
      auto const count = [&](server_standin const& server) {
        for (arrival const& entry : server.arrivals()) {
          if (entry.request == request) ++arrivals;
        }
      };
      for (std::size_t app = 0; app < system.apps(); ++app) count(system.app(app));
      for (std::size_t engine = 0; engine < system.engines(); ++engine) {
        count(system.engine(engine));
      }
      return arrivals;
    });
  }

  bool logs_contain(std::string const& text) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (system.log(node).find(text) != std::string::npos) return true;
    }
    return false;
  }
};

TEST(given_up_calls_test, call_whose_client_left_in_a_partition_reaches_no_server) {
  auto const apps = addresses_of_apps();
  auto const path = cut(apps);
  system.call_and_disconnect(0, "/once/left", "left", "", k_client_patience);
  platform_cluster::wait_until("the call is given up",
                               [&] { return logs_contain("\"request\":\"left\""); });
  heal(*path, apps);
  LONGS_EQUAL(0, arrivals_of("left"));
}

TEST(given_up_calls_test, call_of_a_killed_gateway_reaches_no_server) {
  auto const apps = addresses_of_apps();
  auto const path = cut(apps);
  std::thread client([&] { (void)system.call(0, http::verb::post, "/once/killed", "killed"); });
  platform_cluster::wait_until("the request is sent", [&] {
    return unacknowledged_bytes(apps[0]) + unacknowledged_bytes(apps[1]) > 0;
  });
  system.node(0).kill();
  client.join();
  heal(*path, apps);
  LONGS_EQUAL(0, arrivals_of("killed"));
}

TEST(given_up_calls_test, scorers_call_of_a_job_that_ended_reaches_no_server) {
  system.on_platform([&] {
    system.put_config(2, k_scorer_route);
    return 0;
  });
  test_item item{"item", "group"};
  item.scorer_path = "/score-once/item";
  auto const apps = addresses_of_apps();
  auto const path = cut(apps);
  LONGS_EQUAL(202, system.submit(0, "job", {item}));
  platform_cluster::wait_until("the scorer is called", [&] {
    return unacknowledged_bytes(apps[0]) + unacknowledged_bytes(apps[1]) > 0;
  });
  LONGS_EQUAL(200, system.end_job(0, "job"));
  platform_cluster::wait_until("the call is given up",
                               [&] { return logs_contain("\"request\":\"score-item\""); });
  heal(*path, apps);
  LONGS_EQUAL(0, arrivals_of("score-item"));
}

TEST(given_up_calls_test, run_of_a_job_that_ended_reaches_no_engine) {
  auto const engines = addresses_of_engines();
  auto const path = cut(engines);
  LONGS_EQUAL(202, system.submit(0, "job", {{"item", "group"}}));
  platform_cluster::wait_until("the run is sent", [&] {
    return logs_contain("Run started.") &&
           unacknowledged_bytes(engines[0]) + unacknowledged_bytes(engines[1]) > 0;
  });
  LONGS_EQUAL(200, system.end_job(0, "job"));
  platform_cluster::wait_until("the run has ended", [&] { return logs_contain("Run ended."); });
  heal(*path, engines);
  LONGS_EQUAL(0, arrivals_of("item"));
}
