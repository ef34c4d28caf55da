#include "delivery/delivered_set.h"

#include <CppUTest/TestHarness.h>

using frostline::delivery::delivered_set;
using frostline::rpc::DeliveryRecordT;

TEST_GROUP(delivered_set_test) {
  // Shard 1 of 2: groups 1, 3, 5 and so on.
  delivered_set set{1, 2};

  void deliver_group(std::uint64_t group, std::uint32_t size) {
    for (std::uint32_t index = 0; index < size; ++index) set.insert({group, index}, size);
  }
};

TEST(delivered_set_test, watermark_advances_over_full_groups_only) {
  deliver_group(3, 2);
  LONGS_EQUAL(1, set.watermark());
  set.insert({1, 0}, 2);
  LONGS_EQUAL(1, set.watermark());
  set.insert({1, 1}, 2);
  LONGS_EQUAL(5, set.watermark());
}

TEST(delivered_set_test, contains_what_was_inserted_and_nothing_else) {
  set.insert({3, 1}, 4);
  CHECK(set.contains({3, 1}));
  CHECK_FALSE(set.contains({3, 0}));
  CHECK_FALSE(set.contains({1, 0}));
}

TEST(delivered_set_test, removal_below_the_watermark_keeps_groups_of_other_sizes) {
  deliver_group(1, 2);
  deliver_group(3, 8);
  LONGS_EQUAL(5, set.watermark());
  set.remove({1, 1}, 2);
  LONGS_EQUAL(1, set.watermark());
  CHECK(set.contains({1, 0}));
  CHECK_FALSE(set.contains({1, 1}));
  for (std::uint32_t index = 0; index < 8; ++index) CHECK(set.contains({3, index}));
  set.insert({1, 1}, 2);
  LONGS_EQUAL(5, set.watermark());
}

TEST(delivered_set_test, content_survives_encoding) {
  deliver_group(1, 3);
  set.insert({5, 9}, 10);
  deliver_group(7, 2);
  DeliveryRecordT record;
  set.write_to(record);
  delivered_set restored{1, 2};
  restored.read_from(record);
  LONGS_EQUAL(set.watermark(), restored.watermark());
  CHECK(restored.contains({5, 9}));
  CHECK_FALSE(restored.contains({5, 8}));
  CHECK(restored.contains({7, 1}));
  LONGS_EQUAL(3, restored.partial_count());
}
