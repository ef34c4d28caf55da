/// @file Which part of a topic's records a node holds.

#include "relay/record_selection.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(record_selection_test){
    std::optional<record_traits> record(std::string const& group,
                                        std::uint64_t place){return record_traits{group, place, 0};
}

std::size_t count(record_selection const& held, std::size_t records) {
  std::size_t included = 0;
  for (std::size_t place = 0; place < records; ++place) {
    if (held.includes(record("calls", place))) ++included;
  }
  return included;
}
}
;

TEST(record_selection_test, everything_covers_all_and_nothing_else_covers_it) {
  record_selection const all;
  record_selection const calls("node", {{"calls", k_whole_group}});
  CHECK(all.covers(calls));
  CHECK(all.covers(all));
  CHECK_FALSE(calls.covers(all));
  CHECK(all.includes(record("engines", 4)));
  CHECK_FALSE(calls.includes(record("engines", 4)));
}

TEST(record_selection_test, whole_group_covers_any_part_of_it_and_a_part_only_the_same) {
  record_selection const whole("relay", {{"calls", k_whole_group}});
  record_selection const part("node", {{"calls", 8}});
  CHECK(whole.covers(part));
  CHECK(part.covers(part));
  CHECK_FALSE(part.covers(whole));
  CHECK_FALSE(part.covers(record_selection("other", {{"calls", 8}})));
  CHECK_FALSE(whole.covers(record_selection("node", {{"engines", 8}})));
}

TEST(record_selection_test, whole_groups_are_the_same_whoever_holds_them) {
  CHECK(record_selection("one", {{"calls", 1}}) == record_selection("other", {{"calls", 1}}));
  CHECK_FALSE(record_selection("one", {{"calls", 2}}) == record_selection("other", {{"calls", 2}}));
}

TEST(record_selection_test, smaller_part_lies_within_the_larger_one) {
  record_selection const larger("node", {{"calls", 4}});
  record_selection const smaller("node", {{"calls", 8}});
  for (std::uint64_t place = 0; place < 1000; ++place) {
    if (smaller.includes(record("calls", place))) CHECK(larger.includes(record("calls", place)));
  }
}

TEST(record_selection_test, what_a_node_holds_does_not_grow_with_the_group) {
  for (std::size_t const records : {700, 2222, 7777, 40'000}) {
    record_selection const held("node", {{"calls", suitable_part(k_unknown_part, records)}});
    std::size_t const included = count(held, records);
    CHECK(included >= 90 && included <= 330);
  }
}

TEST(record_selection_test, small_group_is_held_whole) {
  for (std::size_t const records : {0, 1, 60, 255}) {
    LONGS_EQUAL(k_whole_group, suitable_part(k_unknown_part, records));
  }
}

TEST(record_selection_test, part_is_kept_while_the_group_changes_by_less_than_half) {
  LONGS_EQUAL(16, suitable_part(k_unknown_part, 2222));
  LONGS_EQUAL(16, suitable_part(16, 1600));
  LONGS_EQUAL(16, suitable_part(16, 8000));
  LONGS_EQUAL(8, suitable_part(16, 1500));
  LONGS_EQUAL(64, suitable_part(16, 8300));
  LONGS_EQUAL(1, suitable_part(k_whole_group, 500));
}
