#include "rollout/sample_table.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::rollout;

TEST_GROUP(sample_table_test) {
  sample_table table{"task/0/1"};
  delivery::delivered_set delivered{0, 1};
  time_point now = time_point() + seconds(1000);

  void add(std::uint64_t group, std::uint32_t samples) {
    CHECK(table.add_group({group, "prompt", samples, 64}, delivered) == add_result::added);
  }

  finished_sample finish(work_item const& work, std::uint64_t version) {
    finished_sample sample;
    sample.key = work.key;
    sample.attempt = work.attempt;
    sample.spans = {{version, 5}};
    return sample;
  }
};

TEST(sample_table_test, samples_run_in_order_and_finish_once) {
  add(0, 2);
  auto const first = table.take_next(now);
  auto const second = table.take_next(now);
  CHECK_FALSE(table.take_next(now).has_value());
  CHECK(table.finish(finish(*first, 1)));
  CHECK_FALSE(table.finish(finish(*first, 1)));
  LONGS_EQUAL(1, table.counts().finished);
  LONGS_EQUAL(1, table.counts().running);
  CHECK(first->attempt != second->attempt);
}

TEST(sample_table_test, late_reply_of_abandoned_attempt_is_ignored) {
  add(0, 1);
  auto const lost = table.take_next(now);
  table.interrupt(lost->key, lost->attempt, now, {});
  auto const again = table.take_next(now);
  CHECK_FALSE(table.finish(finish(*lost, 1)));
  CHECK(table.finish(finish(*again, 1)));
  CHECK_FALSE(table.finish(finish(*lost, 1)));
  LONGS_EQUAL(1, table.counts().finished);
}

TEST(sample_table_test, interrupted_run_waits_and_resumes) {
  add(0, 1);
  auto const work = table.take_next(now);
  table.interrupt(work->key, work->attempt, now + milliseconds(50), {"text", {{3, 4}}});
  CHECK_FALSE(table.take_next(now).has_value());
  CHECK(table.next_due() == now + milliseconds(50));
  auto const resumed = table.take_next(now + milliseconds(50));
  STRCMP_EQUAL("text", resumed->resume.text.c_str());
  LONGS_EQUAL(4, engines::token_count(resumed->resume.spans));
}

TEST(sample_table_test, stale_finished_samples_are_queued_again) {
  add(0, 2);
  table.finish(finish(*table.take_next(now), 4));
  table.finish(finish(*table.take_next(now), 6));
  LONGS_EQUAL(1, table.drop_stale(6, 1));
  LONGS_EQUAL(1, table.counts().finished);
  LONGS_EQUAL(1, table.counts().queued);
  LONGS_EQUAL(5, table.counts().wasted_tokens);
  LONGS_EQUAL(1, table.take_next(now)->key.index == 0);
}

TEST(sample_table_test, failed_samples_are_never_stale) {
  add(0, 1);
  auto sample = finish(*table.take_next(now), 0);
  sample.failed = true;
  sample.spans.clear();
  table.finish(sample);
  LONGS_EQUAL(0, table.drop_stale(9, 1));
}

TEST(sample_table_test, delivered_samples_are_not_run_again) {
  delivered.insert({0, 0}, 2);
  add(0, 2);
  auto const work = table.take_next(now);
  LONGS_EQUAL(1, work->key.index);
  CHECK_FALSE(table.take_next(now).has_value());
}

TEST(sample_table_test, withdrawn_samples_run_again) {
  add(0, 1);
  table.finish(finish(*table.take_next(now), 1));
  table.mark_delivered({{0, 0}});
  CHECK(table.find_delivered({0, 0}) != nullptr);
  table.withdraw({{0, 0}});
  POINTERS_EQUAL(nullptr, table.find_delivered({0, 0}));
  CHECK(table.take_next(now).has_value());
}

TEST(sample_table_test, resubmitted_group_is_known_or_conflicts) {
  add(0, 1);
  CHECK(table.add_group({0, "prompt", 1, 64}, delivered) == add_result::known);
  CHECK(table.add_group({0, "other", 1, 64}, delivered) == add_result::conflict);
  LONGS_EQUAL(1, table.counts().queued);
}

TEST(sample_table_test, counts_are_correct_if_delivered_while_queued_or_running) {
  add(0, 2);
  auto const running = table.take_next(now);
  table.mark_delivered({{0, 0}, {0, 1}});
  LONGS_EQUAL(0, table.counts().queued);
  LONGS_EQUAL(0, table.counts().running);
  CHECK_FALSE(table.finish(finish(*running, 1)));
  CHECK(table.nothing_outstanding());
}
