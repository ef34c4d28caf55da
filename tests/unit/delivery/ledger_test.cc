#include "delivery/ledger.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::delivery;

namespace {

manifest_entry entry(std::uint64_t group, std::uint32_t index) {
  manifest_entry made;
  made.key = {group, index};
  made.attempt = std::to_string(group) + "." + std::to_string(index);
  made.spans = {{1, 10}};
  made.group_size = 2;
  return made;
}

}  // namespace

TEST_GROUP(ledger_test) {
  ledger shard_ledger{0, 1};

  void commit_next(std::vector<manifest_entry> const& entries, std::string const& identity) {
    auto const record = shard_ledger.plan_next(entries, 1, identity);
    shard_ledger.adopt(record, shard_ledger.revision() + 1);
  }
};

TEST(ledger_test, first_pull_asks_for_the_next_batch) {
  CHECK(shard_ledger.classify(0, "") == pull_kind::next);
  CHECK(shard_ledger.classify(1, "x") == pull_kind::out_of_order);
}

TEST(ledger_test, cursor_with_matching_identity_acknowledges) {
  commit_next({entry(0, 0)}, "one");
  CHECK(shard_ledger.classify(1, "one") == pull_kind::next);
  CHECK(shard_ledger.classify(1, "other") == pull_kind::superseded);
  CHECK(shard_ledger.classify(0, "") == pull_kind::repeat);
  CHECK(shard_ledger.classify(2, "one") == pull_kind::out_of_order);
}

TEST(ledger_test, repeat_requires_identity_of_previous_batch) {
  commit_next({entry(0, 0)}, "one");
  commit_next({entry(0, 1)}, "two");
  CHECK(shard_ledger.classify(1, "one") == pull_kind::repeat);
  CHECK(shard_ledger.classify(1, "zero") == pull_kind::superseded);
  CHECK(shard_ledger.classify(0, "") == pull_kind::out_of_order);
}

TEST(ledger_test, replacement_keeps_batch_number_and_withdraws_samples) {
  commit_next({entry(0, 0), entry(0, 1)}, "one");
  LONGS_EQUAL(1, shard_ledger.delivered().watermark());
  auto const record = shard_ledger.plan_replacement({entry(0, 0)}, {entry(0, 1)}, 2, "again");
  shard_ledger.adopt(record, 9);
  LONGS_EQUAL(1, shard_ledger.batch());
  CHECK(shard_ledger.classify(1, "one") == pull_kind::superseded);
  CHECK(shard_ledger.classify(1, "again") == pull_kind::next);
  CHECK(shard_ledger.delivered().contains({0, 0}));
  CHECK_FALSE(shard_ledger.delivered().contains({0, 1}));
}

TEST(ledger_test, record_restores_the_ledger) {
  commit_next({entry(0, 0)}, "one");
  auto const record = shard_ledger.plan_next({entry(0, 1)}, 7, "two");
  ledger restored{0, 1};
  restored.adopt(record, 5);
  LONGS_EQUAL(2, restored.batch());
  LONGS_EQUAL(7, restored.published_version());
  CHECK(restored.classify(1, "one") == pull_kind::repeat);
  LONGS_EQUAL(1, restored.manifest().size());
  STRCMP_EQUAL("0.1", restored.manifest().front().attempt.c_str());
}
