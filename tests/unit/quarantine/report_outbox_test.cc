/// @file What each collector is told, and what it is told again.

#include "quarantine/report_outbox.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::quarantine;

TEST_GROUP(report_outbox_test) {
  report_outbox outbox;
  endpoint const first{"127.0.0.1", 1};
  endpoint const second{"127.0.0.1", 2};
  time_point const start{milliseconds(1'000'000)};

  static fingerprint request_of(int number) {
    return fingerprint::of({"", "host", "POST", "/", std::to_string(number)});
  }
  void add(int number) {
    outbox.add({request_of(number), "s", start, start + milliseconds(number)});
  }
  void tell(endpoint const& collector, std::string const& incarnation) {
    outbox.note_told(collector, incarnation, outbox.next_report(collector).up_to);
  }
};

TEST(report_outbox_test, each_collector_is_told_once) {
  add(1);
  add(2);
  LONGS_EQUAL(2, outbox.next_report(first).evidence.size());
  tell(first, "p");
  CHECK(!outbox.has_pending(first));
  CHECK(outbox.has_pending(second));
  add(3);
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
  LONGS_EQUAL(3, outbox.next_report(second).evidence.size());
}

TEST(report_outbox_test, collector_that_was_restarted_is_told_everything_again) {
  add(1);
  tell(first, "p");
  add(2);
  tell(first, "q");
  LONGS_EQUAL(2, outbox.next_report(first).evidence.size());
  tell(first, "q");
  CHECK(!outbox.has_pending(first));
}

TEST(report_outbox_test, who_is_no_collector_any_more_is_told_anew_when_it_is_one) {
  add(1);
  tell(first, "p");
  outbox.keep_collectors({second});
  CHECK(outbox.has_pending(first));
}

TEST(report_outbox_test, request_that_was_answered_is_not_told) {
  add(1);
  add(2);
  outbox.clear(request_of(1));
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
  outbox.clear(request_of(2));
  CHECK(outbox.empty());
  CHECK(!outbox.has_pending(first));
}

TEST(report_outbox_test, reports_and_what_is_kept_are_bounded) {
  for (int number = 0; number < 2000; ++number) add(number);
  std::size_t told = 0;
  while (outbox.has_pending(first)) {
    auto const report = outbox.next_report(first);
    CHECK(report.evidence.size() <= report_outbox::k_most_in_report);
    told += report.evidence.size();
    outbox.note_told(first, "p", report.up_to);
  }
  LONGS_EQUAL(report_outbox::k_most_entries, told);
}

TEST(report_outbox_test, what_was_seen_long_ago_is_dropped) {
  add(1);
  add(5);
  outbox.expire(start + milliseconds(1));
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
}
