/// @file Requests share the memory for their bodies: small ones are always taken, and of the large
/// ones that are still being read the largest gives way.

#include "http/request_memory.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using frostline::http::request_memory;

namespace {

constexpr std::size_t k_capacity = 1000;
constexpr std::size_t k_free = request_memory::k_uncounted_bytes;

}  // namespace

TEST_GROUP(request_memory_test) {
  request_memory memory{k_capacity};
  int told = 0;
  request_memory::reservation first{memory, [this] { ++told; }};
  request_memory::reservation second{memory, [this] { ++told; }};
};

TEST(request_memory_test, small_bodies_are_not_counted) {
  CHECK_TRUE(first.grow_to(k_free));
  LONGS_EQUAL(0, memory.held());
}

TEST(request_memory_test, bytes_are_released_with_the_request) {
  {
    request_memory::reservation gone(memory, [] {});
    CHECK_TRUE(gone.grow_to(k_free + k_capacity));
    LONGS_EQUAL(k_capacity, memory.held());
  }
  LONGS_EQUAL(0, memory.held());
  CHECK_TRUE(first.grow_to(k_free + k_capacity));
}

// Guards against large unfinished bodies that keep all others out.
TEST(request_memory_test, the_largest_that_is_read_gives_way) {
  CHECK_TRUE(first.grow_to(k_free + 700));
  CHECK_TRUE(second.grow_to(k_free + 301));
  CHECK_TRUE(first.is_refused());
  LONGS_EQUAL(1, told);
  LONGS_EQUAL(301, memory.held());
  LONGS_EQUAL(1, memory.refused());
}

TEST(request_memory_test, a_refused_request_gets_no_more) {
  CHECK_TRUE(first.grow_to(k_free + 700));
  CHECK_TRUE(second.grow_to(k_free + 301));
  CHECK_FALSE(first.grow_to(k_free + 701));
  LONGS_EQUAL(301, memory.held());
}

TEST(request_memory_test, the_one_that_grows_may_be_the_largest) {
  CHECK_TRUE(first.grow_to(k_free + 500));
  CHECK_FALSE(second.grow_to(k_free + 501));
  CHECK_FALSE(first.is_refused());
  LONGS_EQUAL(500, memory.held());
}

// Guards against refusing a request that may have run.
TEST(request_memory_test, requests_that_were_read_are_not_refused) {
  CHECK_TRUE(first.grow_to(k_free + k_capacity));
  first.finish_reading();
  CHECK_FALSE(second.grow_to(k_free + 1));
  CHECK_FALSE(first.is_refused());
  LONGS_EQUAL(k_capacity, memory.held());
}
