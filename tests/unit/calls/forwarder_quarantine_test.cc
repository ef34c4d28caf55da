/// @file Requests with a provisional record whose trial another node runs. Guards against refusing
/// harmless ones, which only ran on a crashing server.

#include <CppUTest/TestHarness.h>

#include "forwarder_fixture.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr char k_answer[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
constexpr milliseconds k_trial_time{100};

}  // namespace

TEST_GROUP(forwarder_quarantine_test) { forwarder_fixture system; };

// Guards against refusing a request because of a record that another node has removed.
TEST(forwarder_quarantine_test, request_whose_record_is_gone_when_it_claims_the_trial_is_served) {
  system.receive_provisional_record(0);
  system.forward(route_kind::safe, false, {{k_answer}});
  LONGS_EQUAL(200, system.client.status());
}

TEST(forwarder_quarantine_test, request_waits_for_a_trial_that_another_node_runs) {
  system.receive_provisional_record(1);
  system.receive_removal_after(k_trial_time);
  system.forward(route_kind::safe, false, {{k_answer}});
  LONGS_EQUAL(200, system.client.status());
}

TEST(forwarder_quarantine_test, request_is_refused_if_the_trial_has_no_outcome) {
  // The next trial is due long after this one's outcome.
  system.receive_provisional_record(2);
  system.forward(route_kind::safe, false, {{k_answer}});
  LONGS_EQUAL(503, system.client.status());
  LONGS_EQUAL(0, system.servers.arrivals());
}

TEST(forwarder_quarantine_test, request_whose_client_leaves_during_the_trial_reaches_no_server) {
  system.receive_provisional_record(1);
  system.receive_removal_after(k_trial_time);
  system.forward_until_client_leaves(route_kind::safe, {{k_answer}}, k_trial_time / 2);
  system.settle();
  LONGS_EQUAL(0, system.servers.arrivals());
}

// Guards against a scorer's call that a new owner sends before it knows that the call has crashed
// servers.
TEST(forwarder_quarantine_test, call_without_a_caller_waits_for_the_first_records) {
  auto const outcome = system.call_unattended({{k_answer}});
  CHECK_TRUE(outcome.reason == call_failure::quarantined);
  LONGS_EQUAL(0, system.servers.arrivals());
}

TEST(forwarder_quarantine_test, call_without_a_caller_is_made_after_the_first_records) {
  system.receive_no_records();
  auto const outcome = system.call_unattended({{k_answer}});
  CHECK_TRUE(outcome.reason == call_failure::none);
  LONGS_EQUAL(1, system.servers.arrivals());
}
