/// @file Selection of the records of a topic that a node holds.

#include "relay/record_selection.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(record_selection_test){
    std::optional<record_traits> record(std::string const& group,
                                        std::uint64_t hash){return record_traits{group, hash, 0};
}

std::size_t count(record_selection const& selection, std::size_t records) {
  std::size_t included = 0;
  for (std::size_t hash = 0; hash < records; ++hash) {
    if (selection.includes(record("calls", hash))) ++included;
  }
  return included;
}
}
;

TEST(record_selection_test, only_the_selection_of_everything_covers_everything) {
  record_selection const all;
  record_selection const calls("node", {{"calls", k_whole_group}});
  CHECK(all.covers(calls));
  CHECK(all.covers(all));
  CHECK_FALSE(calls.covers(all));
  CHECK(all.includes(record("engines", 4)));
  CHECK_FALSE(calls.includes(record("engines", 4)));
}

TEST(record_selection_test, whole_group_covers_all_subsets_and_a_subset_only_itself) {
  record_selection const whole("relay", {{"calls", k_whole_group}});
  record_selection const subset("node", {{"calls", 8}});
  CHECK(whole.covers(subset));
  CHECK(subset.covers(subset));
  CHECK_FALSE(subset.covers(whole));
  CHECK_FALSE(subset.covers(record_selection("other", {{"calls", 8}})));
  CHECK_FALSE(whole.covers(record_selection("node", {{"engines", 8}})));
}

TEST(record_selection_test, selections_of_whole_groups_are_equal_across_nodes) {
  CHECK(record_selection("one", {{"calls", 1}}) == record_selection("other", {{"calls", 1}}));
  CHECK_FALSE(record_selection("one", {{"calls", 2}}) == record_selection("other", {{"calls", 2}}));
}

TEST(record_selection_test, subsets_of_a_node_are_nested) {
  record_selection const larger("node", {{"calls", 4}});
  record_selection const smaller("node", {{"calls", 8}});
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    if (smaller.includes(record("calls", hash))) CHECK(larger.includes(record("calls", hash)));
  }
}

TEST(record_selection_test, size_of_a_subset_is_bounded) {
  for (std::size_t const records : {700, 2222, 7777, 40'000}) {
    record_selection const selection("node", {{"calls", choose_subset(k_unknown_subset, records)}});
    std::size_t const included = count(selection, records);
    CHECK(included >= 90 && included <= 330);
  }
}

TEST(record_selection_test, small_group_is_selected_as_a_whole) {
  for (std::size_t const records : {0, 1, 60, 255}) {
    LONGS_EQUAL(k_whole_group, choose_subset(k_unknown_subset, records));
  }
}

TEST(record_selection_test, divisor_is_kept_while_the_subset_size_is_in_range) {
  LONGS_EQUAL(16, choose_subset(k_unknown_subset, 2222));
  LONGS_EQUAL(16, choose_subset(16, 1600));
  LONGS_EQUAL(16, choose_subset(16, 8000));
  LONGS_EQUAL(8, choose_subset(16, 1500));
  LONGS_EQUAL(64, choose_subset(16, 8300));
  LONGS_EQUAL(1, choose_subset(k_whole_group, 500));
}
