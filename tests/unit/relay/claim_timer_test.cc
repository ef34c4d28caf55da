/// @file When a node takes the place of its zone's relay.

#include "relay/claim_timer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(claim_timer_test) {
  claim_options options;
  time_point const start = boot_clock::now();

  relay_health failing(kv::revision record, bool others_serve = true) {
    return relay_health{record, false, others_serve, true};
  }

  /// How long after `start` a claim is due for a node that sees the same all the time.
  milliseconds due_after(claim_timer & timer, relay_health const& health) {
    for (milliseconds after{0}; after < milliseconds(20'000); after += milliseconds(10)) {
      if (timer.is_due(health, start + after)) return after;
    }
    return milliseconds(20'000);
  }
};

TEST(claim_timer_test, relay_that_serves_is_never_replaced) {
  claim_timer timer(options, 1);
  relay_health const well{7, true, true, true};
  CHECK(due_after(timer, well) == milliseconds(20'000));
}

TEST(claim_timer_test, relay_that_fails_is_replaced_after_the_patience) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7));
  CHECK(due >= options.patience);
  CHECK(due <= options.patience + options.spread + milliseconds(10));
}

TEST(claim_timer_test, relay_that_is_back_in_time_keeps_its_place) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7), start));
  relay_health const well{7, true, true, true};
  time_point const back = start + options.patience / 2;
  CHECK_FALSE(timer.is_due(well, back));
  CHECK_FALSE(timer.is_due(failing(7), back));
  CHECK_FALSE(timer.is_due(failing(7), back + options.patience - milliseconds(10)));
}

TEST(claim_timer_test, zone_without_a_record_is_claimed_without_patience) {
  claim_timer timer(options, 1);
  CHECK(due_after(timer, failing(0)) <= options.spread + milliseconds(10));
}

TEST(claim_timer_test, node_that_no_relay_answers_waits_longer_since_it_may_be_cut_off) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7, false));
  CHECK(due >= options.patience + options.isolation_patience);
}

TEST(claim_timer_test, hearing_of_another_relay_for_a_moment_does_not_begin_the_wait_anew) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7, true), start));
  CHECK_FALSE(timer.is_due(failing(7, false), start + milliseconds(100)));
  time_point const late = start + options.patience + options.spread;
  CHECK(timer.is_due(failing(7, true), late));
}

TEST(claim_timer_test, wait_begins_anew_after_a_time_in_which_nobody_served) {
  claim_timer timer(options, 1);
  relay_health const outage{7, false, false, false};
  time_point const back = start + options.patience + options.isolation_patience + options.spread;
  CHECK_FALSE(timer.is_due(failing(7), start));
  CHECK_FALSE(timer.is_due(outage, start + milliseconds(10)));
  CHECK_FALSE(timer.is_due(outage, back));
  CHECK_FALSE(timer.is_due(failing(7), back));
  CHECK_FALSE(timer.is_due(failing(7), back + options.patience - milliseconds(10)));
}

TEST(claim_timer_test, another_record_begins_the_wait_anew) {
  claim_timer timer(options, 1);
  CHECK_FALSE(timer.is_due(failing(7), start));
  CHECK_FALSE(timer.is_due(failing(9), start + options.patience + options.spread));
}

TEST(claim_timer_test, weak_node_claims_after_the_strong_ones) {
  options.claim_delay = options.spread + milliseconds(100);
  claim_timer weak(options, 1);
  claim_timer strong(claim_options(), 2);
  CHECK(due_after(weak, failing(7)) > due_after(strong, failing(7)));
}

TEST(claim_timer_test, claim_in_vain_is_tried_again_after_a_pause) {
  claim_timer timer(options, 1);
  milliseconds const due = due_after(timer, failing(7));
  timer.postpone(start + due);
  CHECK_FALSE(timer.is_due(failing(7), start + due + options.retry_pause - milliseconds(1)));
  CHECK(timer.is_due(failing(7), start + due + options.retry_pause + options.spread));
}
