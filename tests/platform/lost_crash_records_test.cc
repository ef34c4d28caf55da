/// @file Guards against lost evidence when all nodes fail together with the third crash of a
/// request whose crashes were seen by different nodes: the evidence must survive in the store.

#include <CppUTest/TestHarness.h>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_poison_text[] = "deadly";
constexpr milliseconds k_read_timeout{800};
/// Time after the third crash from which on only a few retries may reach a server.
constexpr milliseconds k_propagation_time{3000};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::size_t k_retries_allowed = 3;
constexpr std::size_t k_tries_after_bound = 12;

}  // namespace

TEST_GROUP(lost_crash_records_test) {
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

TEST(lost_crash_records_test, bound_holds_for_calls_whose_crashes_different_nodes_saw) {
  for (std::size_t number = 0; number + 1 < k_crashes_allowed; ++number) {
    call_poison(number);
    wait_for_service(number);
  }
  call_poison(k_crashes_allowed - 1);
  time_point const third = boot_clock::now();
  LONGS_EQUAL(k_crashes_allowed, crashes());
  restart_all_nodes();
  wait_for_propagation(third);
  for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
    wait_for_service(number % system.nodes());
    call_poison(number);
  }
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

TEST(lost_crash_records_test, bound_holds_for_a_sample) {
  test_item poison{"deadly", "group"};
  poison.prompt = k_poison_text;
  kill_nodes_at_third_crash(poison);
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

TEST(lost_crash_records_test, bound_holds_for_a_scorers_call) {
  test_item poison{"deadly", "group"};
  poison.scorer_path = "/open/score";
  poison.scorer_body = k_poison_text;
  kill_nodes_at_third_crash(poison);
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}
