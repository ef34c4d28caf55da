/// @file A poison request must be quarantined soon after all nodes fail before they record anything
/// about it.

#include <CppUTest/TestHarness.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_poison_text[] = "deadly";
constexpr milliseconds k_read_timeout{800};
/// Time after the third crash from which on only a few retries may reach a server.
constexpr milliseconds k_propagation_time{3000};
constexpr std::size_t k_retries_allowed = 3;
constexpr std::size_t k_tries_after_bound = 12;

platform_options with_many_servers() {
  platform_options options;
  options.apps = 4;
  options.zones = 3;
  return options;
}

}  // namespace

TEST_GROUP(lost_evidence_test) {
  platform_cluster system{with_many_servers()};
  std::size_t next_other = 0;

  void setup() override { system.set_crash_text(k_poison_text); }

  std::size_t crashes() {
    return system.on_platform([&] {
      std::size_t all = 0;
      for (std::size_t index = 0; index < system.apps(); ++index)
        all += system.app(index).crashes();
      return all;
    });
  }

  void wait_for_service(std::size_t node) {
    platform_cluster::wait_until("other requests are served", [&] {
      auto const answer = system.call(node, http::verb::post, "/calls/x",
                                      "other-" + std::to_string(next_other++), "b", k_read_timeout);
      return answer && answer.value().result_int() == 200;
    });
  }
};

TEST(lost_evidence_test, bound_holds_when_all_nodes_ended_with_the_third_crash) {
  auto const answer =
      system.call(0, http::verb::post, "/calls/x", "first", k_poison_text, k_read_timeout);
  time_point const third = boot_clock::now();
  for (std::size_t node = 0; node < system.nodes(); ++node) system.node(node).kill();
  CHECK(answer.has_value());
  LONGS_EQUAL(3, crashes());
  for (std::size_t node = 0; node < system.nodes(); ++node) system.start_node(node);
  for (std::size_t node = 0; node < system.nodes(); ++node) wait_for_service(node);
  platform_cluster::wait_until("the quarantine is in effect",
                               [&] { return boot_clock::now() > third + k_propagation_time; });
  for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
    std::size_t const node = number % system.nodes();
    wait_for_service(node);
    // The answer is ignored: the test counts arrivals at the servers.
    static_cast<void>(system.call(node, http::verb::post, "/calls/x",
                                  "late-" + std::to_string(number), k_poison_text, k_read_timeout));
  }
  CHECK(crashes() <= 3 + k_retries_allowed);
}
