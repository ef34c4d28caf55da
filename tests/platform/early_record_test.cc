/// @file A record of a request with only two crashes must not keep other callers of the same
/// request from servers.

#include <CppUTest/TestHarness.h>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_text[] = "popular";
constexpr milliseconds k_read_timeout{1500};
constexpr milliseconds k_long_down_time{60'000};
/// Time after which a record of three crashes would be in effect on all nodes, with no trial due.
constexpr milliseconds k_record_effect_time{1100};

platform_options with_four_servers() {
  platform_options options;
  options.apps = 4;
  options.zones = 3;
  return options;
}

}  // namespace

TEST_GROUP(early_record_test) {
  platform_cluster system{with_four_servers()};

  /// Crashes two servers with the request; no server is left for a third run.
  void crash_two_servers() {
    system.on_platform([&] {
      for (std::size_t index : {0u, 1u}) {
        system.app(index).faults().down_time = k_long_down_time;
        system.app(index).crash();
      }
      return 0;
    });
    system.set_crash_text(k_text);
    auto const answer =
        system.call(0, http::verb::post, "/calls/x", "first", k_text, k_read_timeout);
    system.set_crash_text("");
    CHECK(answer.has_value());
    LONGS_EQUAL(502, answer.value().result_int());
    LONGS_EQUAL(
        2, system.on_platform([&] { return system.app(2).crashes() + system.app(3).crashes(); }));
  }
};

TEST(early_record_test, request_with_two_crashes_is_served_at_every_node) {
  crash_two_servers();
  time_point const in_force = boot_clock::now() + k_record_effect_time;
  platform_cluster::wait_until("a record of three crashes would be in force",
                               [&] { return boot_clock::now() > in_force; });
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    auto const answer = system.call(node, http::verb::post, "/calls/x",
                                    "again-" + std::to_string(node), k_text, k_read_timeout);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer.value().result_int());
  }
}

TEST(early_record_test, record_of_two_crashes_is_removed_after_a_third_run_without_a_crash) {
  crash_two_servers();
  CHECK(system.log(0).find("Suspicion of a request recorded.") != std::string::npos);
  platform_cluster::wait_until("the record is gone",
                               [&] { return count_records(system, k_quarantine_records) == 0; });
}
