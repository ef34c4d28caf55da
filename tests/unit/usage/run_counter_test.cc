/// @file Counting of tenants' requests on one node.

#include "usage/run_counter.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::usage;

namespace {

constexpr std::size_t k_no_limit = 1000;

}  // namespace

TEST_GROUP(run_counter_test) {
  run_counter counter;
  time_point now{std::chrono::hours(1)};

  void run(std::string const& tenant, time_point at) {
    counter.end_attempt(counter.begin_attempt(at), tenant, true, at);
  }
};

TEST(run_counter_test, only_started_requests_of_tenants_are_counted) {
  run("first", now);
  run("", now);
  counter.end_attempt(counter.begin_attempt(now), "first", false, now);
  auto const call = counter.entries_after(0, now + milliseconds(70), k_no_limit);
  LONGS_EQUAL(1, call.entries.size());
  STRCMP_EQUAL("first", call.entries[0]->tenant.c_str());
  LONGS_EQUAL(70, call.entries[0]->ago_ms);
  LONGS_EQUAL(1, counter.total());
}

TEST(run_counter_test, in_flight_attempt_limits_completeness) {
  auto const open = counter.begin_attempt(now);
  run("first", now + milliseconds(100));
  auto const before = counter.entries_after(0, now + milliseconds(500), k_no_limit);
  LONGS_EQUAL(500, before.complete_ms_ago);
  counter.end_attempt(open, "first", true, now);
  LONGS_EQUAL(0, counter.entries_after(0, now + milliseconds(500), k_no_limit).complete_ms_ago);
}

TEST(run_counter_test, omitted_entries_limit_completeness) {
  run("first", now);
  run("first", now + milliseconds(100));
  run("first", now + milliseconds(200));
  auto const call = counter.entries_after(0, now + milliseconds(300), 1);
  LONGS_EQUAL(1, call.entries.size());
  LONGS_EQUAL(200, call.complete_ms_ago);
  LONGS_EQUAL(2, counter.entries_after(1, now, k_no_limit).entries.size());
  CHECK(counter.has_entries_after(2));
  CHECK_FALSE(counter.has_entries_after(3));
}

TEST(run_counter_test, dropping_entries_keeps_sequence_numbers) {
  run("first", now);
  run("second", now + seconds(50));
  counter.drop_before(now + seconds(10));
  auto const call = counter.entries_after(0, now + seconds(50), k_no_limit);
  LONGS_EQUAL(1, call.entries.size());
  LONGS_EQUAL(2, call.entries[0]->sequence);
}
