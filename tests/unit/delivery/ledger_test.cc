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
  ledger book{0, 1};

  void commit_next(std::vector<manifest_entry> const& entries, std::string const& identity) {
    auto const record = book.plan_next(entries, 1, identity);
    book.adopt(record, book.revision() + 1);
  }
};

TEST(ledger_test, first_pull_asks_for_the_next_batch) {
  CHECK(book.classify(0, "") == pull_kind::next);
  CHECK(book.classify(1, "x") == pull_kind::out_of_order);
}

TEST(ledger_test, cursor_with_its_identity_acknowledges) {
  commit_next({entry(0, 0)}, "one");
  CHECK(book.classify(1, "one") == pull_kind::next);
  CHECK(book.classify(1, "other") == pull_kind::superseded);
  CHECK(book.classify(0, "") == pull_kind::repeat);
  CHECK(book.classify(2, "one") == pull_kind::out_of_order);
}

TEST(ledger_test, repeat_needs_the_identity_of_the_batch_before) {
  commit_next({entry(0, 0)}, "one");
  commit_next({entry(0, 1)}, "two");
  CHECK(book.classify(1, "one") == pull_kind::repeat);
  CHECK(book.classify(1, "zero") == pull_kind::superseded);
  CHECK(book.classify(0, "") == pull_kind::out_of_order);
}

TEST(ledger_test, replacement_keeps_the_number_and_takes_samples_back) {
  commit_next({entry(0, 0), entry(0, 1)}, "one");
  LONGS_EQUAL(1, book.delivered().watermark());
  auto const record = book.plan_replacement({entry(0, 0)}, {entry(0, 1)}, 2, "again");
  book.adopt(record, 9);
  LONGS_EQUAL(1, book.batch());
  CHECK(book.classify(1, "one") == pull_kind::superseded);
  CHECK(book.classify(1, "again") == pull_kind::next);
  CHECK(book.delivered().contains({0, 0}));
  CHECK_FALSE(book.delivered().contains({0, 1}));
}

TEST(ledger_test, record_restores_the_ledger) {
  commit_next({entry(0, 0)}, "one");
  auto const record = book.plan_next({entry(0, 1)}, 7, "two");
  ledger restored{0, 1};
  restored.adopt(record, 5);
  LONGS_EQUAL(2, restored.batch());
  LONGS_EQUAL(7, restored.published_version());
  CHECK(restored.classify(1, "one") == pull_kind::repeat);
  LONGS_EQUAL(1, restored.manifest().size());
  STRCMP_EQUAL("0.1", restored.manifest().front().attempt.c_str());
}
