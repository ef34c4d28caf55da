/// @file A seed of the soak must replay its faults: when threads of callers drew from the same
/// generator, no seed did.

#include "fault_schedule.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace frostline::testing;

namespace {

constexpr std::uint64_t k_seed = 215;
constexpr std::size_t k_faults = 30;

std::vector<fault_pair> draw(std::uint64_t seed) {
  fault_schedule schedule(seed, k_faults);
  std::vector<fault_pair> pairs;
  while (pairs.size() < k_faults) pairs.push_back(schedule.next());
  return pairs;
}

}  // namespace

TEST_GROUP(fault_schedule_test){};

TEST(fault_schedule_test, seed_always_gives_the_same_faults) {
  CHECK(draw(k_seed) == draw(k_seed));
  CHECK_FALSE(draw(k_seed) == draw(k_seed + 1));
}

TEST(fault_schedule_test, faults_are_in_range) {
  for (fault_pair const& pair : draw(k_seed)) {
    CHECK(pair.first < k_faults);
    CHECK(pair.second < k_faults);
  }
}
