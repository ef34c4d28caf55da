/// @file When a record takes effect and when trials are due.

#include "quarantine/quarantine_list.h"

#include <CppUTest/TestHarness.h>

#include <iterator>

using namespace frostline;
using namespace frostline::quarantine;

TEST_GROUP(quarantine_list_test) {
  quarantine_list list;
  time_point const start{milliseconds(1'000'000)};
  fingerprint const request = fingerprint::of({"", "host", "POST", "/", "body"});
  fingerprint const other = fingerprint::of({"", "host", "POST", "/", "other"});

  bool put(kv::revision revision, std::uint32_t trials, time_point now) {
    return list.put({request, revision, {"s1", "s2", "s3"}, trials}, now);
  }
  void suspect(kv::revision revision, time_point now, discovery discovered) {
    list.put({request, revision, {"s1", "s2"}, 0, true}, now, discovered);
  }
  bool is(verdict expected, time_point now) const { return list.check(request, now) == expected; }
};

TEST(quarantine_list_test, unlisted_request_is_allowed) {
  CHECK(is(verdict::allowed, start));
  put(5, 0, start);
  CHECK(list.check(other, start + seconds(10)) == verdict::allowed);
}

TEST(quarantine_list_test, record_takes_effect_after_the_delay) {
  put(5, 0, start);
  CHECK(is(verdict::allowed, start + quarantine_list::k_effect_delay - milliseconds(1)));
  CHECK(is(verdict::refused, start + quarantine_list::k_effect_delay));
}

TEST(quarantine_list_test, trials_are_due_after_growing_delays_and_end) {
  time_point changed = start;
  std::uint32_t trials = 0;
  for (milliseconds const pause : quarantine_list::k_trial_delays) {
    put(5 + trials, trials, changed);
    CHECK(is(verdict::refused, changed + pause - milliseconds(1)));
    CHECK(is(verdict::trial, changed + pause));
    changed += pause;
    ++trials;
  }
  put(5 + trials, trials, changed);
  CHECK(is(verdict::refused, changed + seconds(1'000'000)));
}

TEST(quarantine_list_test, time_until_trial_is_known_while_trials_remain) {
  CHECK(!list.time_until_trial(request, start));
  put(5, 0, start);
  CHECK(list.time_until_trial(request, start + milliseconds(700)) ==
        quarantine_list::k_trial_delays[0] - milliseconds(700));
  CHECK(list.time_until_trial(request, start + seconds(9)) == milliseconds(0));
  put(6, std::size(quarantine_list::k_trial_delays), start);
  CHECK(!list.time_until_trial(request, start));
}

TEST(quarantine_list_test, trials_and_one_earlier_retry_stay_within_three) {
  CHECK(std::size(quarantine_list::k_trial_delays) + 1 <= 3);
}

TEST(quarantine_list_test, claimed_trial_does_not_restart_the_effect_delay) {
  put(5, 0, start);
  time_point const claimed = start + quarantine_list::k_trial_delays[0];
  put(6, 1, claimed);
  CHECK(is(verdict::refused, claimed));
}

// Guards against a node that has just started and runs a request whose quarantine other nodes have
// tried already.
TEST(quarantine_list_test, tried_record_found_at_startup_takes_effect_at_once) {
  list.put({request, 6, {"s1", "s2", "s3"}, 1}, start, discovery::at_start);
  CHECK(is(verdict::refused, start));
}

// Guards against a record that leaves running nodes no time to clear the request by an answer.
TEST(quarantine_list_test, tried_record_received_later_takes_effect_after_the_delay) {
  put(6, 1, start);
  CHECK(is(verdict::allowed, start + quarantine_list::k_effect_delay - milliseconds(1)));
}

TEST(quarantine_list_test, untried_record_found_at_startup_takes_effect_after_the_delay) {
  list.put({request, 6, {"s1", "s2", "s3"}, 0}, start, discovery::at_start);
  CHECK(is(verdict::allowed, start + quarantine_list::k_effect_delay - milliseconds(1)));
}

TEST(quarantine_list_test, older_revision_changes_nothing) {
  CHECK(put(6, 1, start));
  CHECK(!put(5, 0, start));
  CHECK(!put(6, 1, start));
  LONGS_EQUAL(1, list.find(request)->trials);
}

TEST(quarantine_list_test, suspicion_received_later_has_no_effect) {
  suspect(5, start, discovery::later);
  CHECK(is(verdict::allowed, start + seconds(1'000'000)));
  CHECK(!list.is_proven(request));
}

TEST(quarantine_list_test, suspicion_found_at_startup_takes_effect_with_a_trial_due) {
  suspect(5, start, discovery::at_start);
  CHECK(is(verdict::allowed, start + quarantine_list::k_suspicion_effect_delay - milliseconds(1)));
  CHECK(is(verdict::trial, start + quarantine_list::k_suspicion_effect_delay));
}

TEST(quarantine_list_test, confirmed_suspicion_takes_effect_after_the_delay) {
  suspect(5, start, discovery::later);
  time_point const proved = start + milliseconds(400);
  put(6, 0, proved);
  CHECK(list.is_proven(request));
  CHECK(is(verdict::allowed, proved + quarantine_list::k_effect_delay - milliseconds(1)));
  CHECK(is(verdict::refused, proved + quarantine_list::k_effect_delay));
}

TEST(quarantine_list_test, confirmation_does_not_suspend_an_effective_suspicion) {
  suspect(5, start, discovery::at_start);
  time_point const in_effect = start + quarantine_list::k_suspicion_effect_delay;
  put(6, 1, in_effect);
  CHECK(is(verdict::refused, in_effect));
}

TEST(quarantine_list_test, suspicion_flag_survives_encoding) {
  kv::key_value record;
  record.key = quarantine_list::key_of(request);
  record.value = quarantine_list::encode({request, 0, {"s1", "s2"}, 0, true}, "");
  CHECK(quarantine_list::decode(record)->is_suspicion);
  record.value = quarantine_list::encode({request, 0, {"s1", "s2"}, 0, false}, "");
  CHECK(!quarantine_list::decode(record)->is_suspicion);
}

TEST(quarantine_list_test, removed_record_has_no_effect) {
  put(5, 0, start);
  CHECK(list.remove(request));
  CHECK(!list.remove(request));
  CHECK(is(verdict::allowed, start + seconds(10)));
}

TEST(quarantine_list_test, record_is_decoded_and_malformed_one_rejected) {
  quarantine_entry entry{request, 0, {"s1", "s2", "s3"}, 1};
  kv::key_value record;
  record.key = quarantine_list::key_of(request);
  record.value = quarantine_list::encode(entry, "node");
  record.mod_revision = 9;
  auto const decoded = quarantine_list::decode(record);
  CHECK(decoded.has_value());
  CHECK(decoded->request == request);
  LONGS_EQUAL(9, decoded->revision);
  LONGS_EQUAL(3, decoded->servers.size());
  LONGS_EQUAL(1, decoded->trials);
  record.value = "nonsense";
  CHECK(!quarantine_list::decode(record));
  record.key = quarantine_list::records_prefix() + "short";
  CHECK(!quarantine_list::decode(record));
}

TEST(quarantine_list_test, oldest_record_is_evicted_first) {
  for (std::size_t number = 0; number <= quarantine_list::k_max_entries; ++number) {
    CHECK(list.entry_to_evict() == nullptr);
    auto const request = fingerprint::of({"", "host", "POST", "/", std::to_string(number)});
    list.put({request, 100 + number, {}, 0}, start);
  }
  CHECK(list.entry_to_evict() != nullptr);
  LONGS_EQUAL(100, list.entry_to_evict()->revision);
}

// Guards against a request that crashes another server before its record takes effect.
TEST(quarantine_list_test, provisional_record_takes_effect_at_once_with_a_trial_due) {
  quarantine_entry entry{request, 5, {"s1"}, 0, false, true};
  list.put(entry, start);
  CHECK(is(verdict::trial, start));
  CHECK(list.time_until_trial(request, start) == milliseconds(0));
  CHECK(list.is_provisional(request));
  CHECK_FALSE(list.is_proven(request));
}

// Guards against a harmless request that is refused for minutes, since the node of its trial ended.
TEST(quarantine_list_test, trial_of_a_provisional_record_is_repeated_unless_it_crashed_a_server) {
  quarantine_entry entry{request, 5, {"s1"}, 1, false, true};
  list.put(entry, start);
  milliseconds const delay = quarantine_list::k_provisional_trial_delays[1];
  CHECK(is(verdict::refused, start + delay - milliseconds(1)));
  CHECK(is(verdict::trial, start + delay));
  entry.revision = 6;
  entry.servers.push_back("s2");
  list.put(entry, start);
  CHECK(is(verdict::refused, start + quarantine_list::k_trial_delays[1] - milliseconds(1)));
  CHECK(is(verdict::trial, start + quarantine_list::k_trial_delays[1]));
}

TEST(quarantine_list_test, outcome_of_a_provisional_trial_is_due_until_it_crashed_a_server) {
  quarantine_entry entry{request, 5, {"s1"}, 0, false, true};
  list.put(entry, start);
  CHECK_FALSE(list.trial_outcome_due(request));
  entry.revision = 6;
  entry.trials = 1;
  list.put(entry, start + seconds(1));
  CHECK(list.trial_outcome_due(request) ==
        start + seconds(1) + quarantine_list::k_trial_outcome_timeout);
  entry.revision = 7;
  entry.servers.push_back("s2");
  list.put(entry, start + seconds(2));
  CHECK_FALSE(list.trial_outcome_due(request));
}

TEST(quarantine_list_test, no_outcome_is_due_after_a_trial_of_a_proven_record) {
  put(5, 1, start);
  CHECK_FALSE(list.trial_outcome_due(request));
}

TEST(quarantine_list_test, trials_of_a_provisional_record_end) {
  std::uint32_t const trials = std::size(quarantine_list::k_provisional_trial_delays);
  list.put({request, 5, {"s1"}, trials, false, true}, start);
  CHECK(is(verdict::refused, start + seconds(1'000'000)));
  list.put({request, 6, {"s1", "s2"}, 2, false, true}, start);
  CHECK(is(verdict::refused, start + seconds(1'000'000)));
}

TEST(quarantine_list_test, proven_record_that_replaces_a_provisional_one_stays_in_effect) {
  list.put({request, 5, {"s1"}, 1, false, true}, start);
  list.put({request, 6, {"s1", "s2", "s3"}, 1, false, false}, start);
  CHECK(is(verdict::refused, start));
  CHECK(list.is_proven(request));
}

TEST(quarantine_list_test, provisional_record_survives_encoding) {
  quarantine_entry const entry{request, 0, {"s1"}, 1, false, true};
  kv::key_value const record{quarantine_list::key_of(request), quarantine_list::encode(entry, "")};
  auto const decoded = quarantine_list::decode(record);
  CHECK(decoded && decoded->is_provisional && !decoded->is_suspicion);
  LONGS_EQUAL(1, decoded->trials);
}
