/// @file Guards against lost evidence when all nodes fail together with the third crash of a
/// request whose crashes were seen by different nodes: the evidence must survive in the store, and
/// nodes that start without it must need less.

#include "lost_crash_fixture.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP_BASE(lost_crash_records_test, lost_crash_fixture){};

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

// Guards against runs that crash servers at the same time, before any evidence can be stored.
TEST(lost_crash_records_test, bound_holds_for_calls_that_crash_servers_at_the_same_time) {
  std::vector<std::thread> callers;
  for (std::size_t number = 0; number < k_crashes_allowed; ++number) {
    callers.emplace_back([this, number] { call_poison(number); });
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
    call_poison(number);
  }
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

// Guards against evidence of single crashes, which each end of all nodes loses.
TEST(lost_crash_records_test, bound_holds_when_all_nodes_end_again_and_again) {
  for (std::size_t round = 0; round < 4; ++round) {
    std::size_t const before = crashes();
    std::thread caller([this, round] { call_poison(round); });
    platform_cluster::wait_until("a server has ended or the call was refused",
                                 [&, until = boot_clock::now() + milliseconds(1500)] {
                                   return crashes() > before || boot_clock::now() > until;
                                 });
    restart_all_nodes();
    caller.join();
  }
  wait_for_propagation(boot_clock::now());
  for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
    wait_for_service(number % system.nodes());
    call_poison(number);
  }
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}

// Guards against a sample that is held back because of crashes before all nodes restarted.
TEST(lost_crash_records_test, sample_is_completed_after_crashes_on_both_sides_of_a_restart) {
  system.set_crash_text("");
  system.add_crash_budget(k_poison_text, k_crashes_allowed + k_retries_allowed);
  test_item unlucky{"unlucky", "group"};
  unlucky.prompt = k_poison_text;
  kill_nodes_at_third_crash(unlucky);
  system.wait_for_results(0, "job", 1);
  system.wait_for_results(0, "again", 2);
  CHECK(is_completed("job", "unlucky"));
  CHECK(is_completed("again", "unlucky"));
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
  LONGS_EQUAL(0, count_records(system, k_quarantine_records));
}
