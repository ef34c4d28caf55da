/// @file Usage reports of real gateway processes: each window is reported once, by one node at a
/// time, and includes every request that a server started to run.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// Minimum time between calls of two holders (orders.gap_ms of the cluster).
constexpr milliseconds k_min_holder_gap{300};

platform_options with_usage() {
  platform_options options;
  options.tenants =
      R"([{"name":"first","api_keys":["key-a"]},{"name":"second","api_keys":["key-b"]}])";
  options.usage_window = milliseconds(500);
  return options;
}

}  // namespace

TEST_GROUP(usage_test) {
  platform_cluster system{with_usage()};
  std::uint64_t sent = 0;

  /// Sends one request of the first tenant and counts it in `sent` if a server answers it.
  void send(std::size_t node) {
    system.use_key("key-a");
    std::string const id = "usage-" + std::to_string(sent);
    auto const answer = system.call(node, http::verb::post, "/calls/a", id, "body");
    if (answer && answer.value().result() == http::status::ok) ++sent;
  }

  std::uint64_t reported(std::string const& tenant) {
    return system.on_platform([&] { return system.duties().reported(tenant); });
  }

  std::size_t reports() {
    return system.on_platform([&] { return system.duties().calls().size(); });
  }

  void wait_until_reported(std::uint64_t requests) {
    platform_cluster::wait_until(std::to_string(requests) + " requests are reported",
                                 [&] { return reported("first") >= requests; });
  }

  void check_no_violations() {
    auto const found =
        system.on_platform([&] { return system.duties().violations(k_min_holder_gap); });
    for (std::string const& violation : found) FAIL(violation.c_str());
  }

  void set_faults(std::function<void(duty_faults&)> change) {
    system.on_platform([&] {
      change(system.duties().faults());
      return 0;
    });
  }
};

TEST(usage_test, requests_of_all_nodes_are_reported_by_tenant_and_once) {
  for (std::size_t number = 0; number < 9; ++number) send(number % system.nodes());
  system.use_key("key-b");
  LONGS_EQUAL(200, system.call(0, http::verb::post, "/calls/a", "other").value().result_int());
  wait_until_reported(9);
  std::size_t const before = reports();
  platform_cluster::wait_until("three more windows are reported",
                               [&] { return reports() >= before + 3; });
  LONGS_EQUAL(9, reported("first"));
  LONGS_EQUAL(1, reported("second"));
  check_no_violations();
}

TEST(usage_test, requests_that_no_server_ran_are_not_usage) {
  system.on_platform([&] {
    system.app(0).faults().full = true;
    system.app(1).faults().full = true;
    return 0;
  });
  for (std::size_t number = 0; number < 4; ++number) send(0);
  LONGS_EQUAL(0, sent);
  system.use_key("");
  LONGS_EQUAL(401, system.call(0, http::verb::post, "/calls/a", "unknown").value().result_int());
  std::size_t const before = reports();
  platform_cluster::wait_until("three windows are reported",
                               [&] { return reports() >= before + 3; });
  LONGS_EQUAL(0, reported("first"));
}

TEST(usage_test, killed_holder_loses_no_request_of_the_others) {
  std::size_t const holder = system.duty_holder();
  for (std::size_t number = 0; number < 6; ++number) send((holder + 1) % system.nodes());
  system.node(holder).kill();
  for (std::size_t number = 0; number < 6; ++number) send((holder + 2) % system.nodes());
  wait_until_reported(sent);
  LONGS_EQUAL(sent, reported("first"));
  check_no_violations();
}

TEST(usage_test, frozen_holder_does_not_report_again_after_it_resumes) {
  std::size_t const holder = system.duty_holder();
  platform_cluster::wait_until("it reports", [&] { return reports() > 0; });
  send((holder + 1) % system.nodes());
  system.node(holder).send_signal(SIGSTOP);
  platform_cluster::wait_until("another node reports", [&] {
    return system.on_platform(
        [&] { return system.duties().calls().back().holder != "node-" + std::to_string(holder); });
  });
  system.node(holder).send_signal(SIGCONT);
  send((holder + 1) % system.nodes());
  wait_until_reported(sent);
  check_no_violations();
}

TEST(usage_test, planned_stop_of_the_holder_hands_its_own_counts_on) {
  std::size_t const holder = system.duty_holder();
  for (std::size_t number = 0; number < 5; ++number) send(holder);
  system.node(holder).send_signal(SIGTERM);
  wait_until_reported(5);
  LONGS_EQUAL(5, reported("first"));
  check_no_violations();
}

TEST(usage_test, silent_busy_and_lost_answers_change_no_report) {
  set_faults([](duty_faults& faults) { faults.lost_answers = 2; });
  send(0);
  wait_until_reported(1);
  set_faults([](duty_faults& faults) { faults.silent = true; });
  send(1);
  set_faults([](duty_faults& faults) {
    faults.silent = false;
    faults.busy = true;
  });
  send(2);
  set_faults([](duty_faults& faults) { faults.busy = false; });
  wait_until_reported(3);
  LONGS_EQUAL(3, reported("first"));
  check_no_violations();
}

TEST(usage_test, outage_of_the_store_delays_reports_and_loses_none) {
  send(0);
  system.on_platform([&] {
    system.store().faults().busy = true;
    return 0;
  });
  std::size_t const before = reports();
  for (std::size_t number = 0; number < 4; ++number) send(number % system.nodes());
  system.on_platform([&] {
    system.store().faults().busy = false;
    return 0;
  });
  wait_until_reported(sent);
  CHECK(reports() > before);
  LONGS_EQUAL(sent, reported("first"));
  check_no_violations();
}
