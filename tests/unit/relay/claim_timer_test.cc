/// @file Timing of claims of a zone's relay record.

#include "relay/claim_timer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(claim_timer_test) {
  claim_options options;
  time_point const start = boot_clock::now();

  relay_health failing(kv::revision record, bool other_relay_serves = true) {
    return relay_health{record, false, other_relay_serves, true};
  }

  /// Returns how long after `start` a claim is due if `health` does not change.
  milliseconds due_after(claim_timer & timer, relay_health const& health) {
    for (milliseconds after{0}; after < milliseconds(20'000); after += milliseconds(10)) {
      if (timer.is_due(health, start + after)) return after;
    }
    return milliseconds(20'000);
  }
};

TEST(claim_timer_test, serving_relay_is_never_replaced) {
  claim_timer timer(options, 1);
  relay_health const well{7, true, true, true};
  CHECK(due_after(timer, well) == milliseconds(20'000));
}

TEST(claim_timer_test, failing_relay_is_replaced_after_the_timeout) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7));
  CHECK(due >= options.relay_timeout);
  CHECK(due <= options.relay_timeout + options.jitter + milliseconds(10));
}

TEST(claim_timer_test, relay_that_recovers_in_time_is_not_replaced) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7), start));
  relay_health const well{7, true, true, true};
  time_point const back = start + options.relay_timeout / 2;
  CHECK_FALSE(timer.is_due(well, back));
  CHECK_FALSE(timer.is_due(failing(7), back));
  CHECK_FALSE(timer.is_due(failing(7), back + options.relay_timeout - milliseconds(10)));
}

TEST(claim_timer_test, zone_without_a_record_is_claimed_without_the_timeout) {
  claim_timer timer(options, 1);
  CHECK(due_after(timer, failing(0)) <= options.jitter + milliseconds(10));
}

TEST(claim_timer_test, node_that_no_relay_serves_waits_longer) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7, false));
  CHECK(due >= options.relay_timeout + options.isolation_timeout);
}

TEST(claim_timer_test, change_of_other_relays_health_does_not_restart_the_wait) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7, true), start));
  CHECK_FALSE(timer.is_due(failing(7, false), start + milliseconds(100)));
  time_point const late = start + options.relay_timeout + options.jitter;
  CHECK(timer.is_due(failing(7, true), late));
}

TEST(claim_timer_test, wait_restarts_after_no_source_served) {
  claim_timer timer(options, 1);
  relay_health const outage{7, false, false, false};
  time_point const back =
      start + options.relay_timeout + options.isolation_timeout + options.jitter;
  CHECK_FALSE(timer.is_due(failing(7), start));
  CHECK_FALSE(timer.is_due(outage, start + milliseconds(10)));
  CHECK_FALSE(timer.is_due(outage, back));
  CHECK_FALSE(timer.is_due(failing(7), back));
  CHECK_FALSE(timer.is_due(failing(7), back + options.relay_timeout - milliseconds(10)));
}

TEST(claim_timer_test, new_record_restarts_the_wait) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7), start));
  CHECK_FALSE(timer.is_due(failing(9), start + options.relay_timeout + options.jitter));
}

TEST(claim_timer_test, claim_delay_postpones_the_claim) {
  options.claim_delay = options.jitter + milliseconds(100);
  claim_timer weak(options, 1);
  claim_timer strong(claim_options(), 2);
  CHECK(due_after(weak, failing(7)) > due_after(strong, failing(7)));
}

TEST(claim_timer_test, unsuccessful_claim_is_retried_after_a_backoff) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7));
  timer.postpone(start + due);
  CHECK_FALSE(timer.is_due(failing(7), start + due + options.retry_backoff - milliseconds(1)));
  CHECK(timer.is_due(failing(7), start + due + options.retry_backoff + options.jitter));
}
