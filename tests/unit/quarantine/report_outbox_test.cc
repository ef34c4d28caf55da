/// @file Which evidence each collector receives, also after its restart.

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
  void acknowledge(endpoint const& collector, std::string const& incarnation) {
    outbox.note_reported(collector, incarnation, outbox.next_report(collector).last_number);
  }
};

TEST(report_outbox_test, each_collector_receives_evidence_once) {
  add(1);
  add(2);
  LONGS_EQUAL(2, outbox.next_report(first).evidence.size());
  acknowledge(first, "p");
  CHECK(!outbox.has_pending(first));
  CHECK(outbox.has_pending(second));
  add(3);
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
  LONGS_EQUAL(3, outbox.next_report(second).evidence.size());
}

TEST(report_outbox_test, restarted_collector_receives_everything_again) {
  add(1);
  acknowledge(first, "p");
  add(2);
  acknowledge(first, "q");
  LONGS_EQUAL(2, outbox.next_report(first).evidence.size());
  acknowledge(first, "q");
  CHECK(!outbox.has_pending(first));
}

TEST(report_outbox_test, returning_collector_receives_everything_again) {
  add(1);
  acknowledge(first, "p");
  outbox.retain_collectors({second});
  CHECK(outbox.has_pending(first));
}

TEST(report_outbox_test, answered_request_is_not_reported) {
  add(1);
  add(2);
  outbox.clear(request_of(1));
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
  outbox.clear(request_of(2));
  CHECK(outbox.empty());
  CHECK(!outbox.has_pending(first));
}

TEST(report_outbox_test, report_size_and_retained_evidence_are_bounded) {
  for (int number = 0; number < 2000; ++number) add(number);
  std::size_t reported = 0;
  while (outbox.has_pending(first)) {
    auto const report = outbox.next_report(first);
    CHECK(report.evidence.size() <= report_outbox::k_max_report_size);
    reported += report.evidence.size();
    outbox.note_reported(first, "p", report.last_number);
  }
  LONGS_EQUAL(report_outbox::k_max_entries, reported);
}

TEST(report_outbox_test, expired_evidence_is_dropped) {
  add(1);
  add(5);
  outbox.expire(start + milliseconds(1));
  LONGS_EQUAL(1, outbox.next_report(first).evidence.size());
}
