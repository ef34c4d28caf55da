#include "rollout/placement.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace frostline;
using namespace frostline::rollout;

TEST_GROUP(placement_test) {
  time_point now = time_point() + seconds(100);
  std::vector<engine_view> engines = {make("a", 0), make("b", 0), make("c", 0)};

  static engine_view make(std::string const& id, std::uint32_t in_flight) {
    engine_view view;
    view.id = id;
    view.slots = 4;
    view.in_flight = in_flight;
    return view;
  }
};

TEST(placement_test, unknown_policy_returns_null) {
  CHECK(make_placement_policy("newest", 1) == nullptr);
}

TEST(placement_test, full_and_blocked_engines_are_skipped) {
  auto const policy = make_placement_policy("round_robin", 1);
  engines[0].in_flight = 4;
  engines[1].blocked_until = now + milliseconds(1);
  for (int round = 0; round < 5; ++round) {
    LONGS_EQUAL(2, *place(*policy, engines, {}, now));
  }
  engines[2].slots = 0;
  CHECK_FALSE(place(*policy, engines, {}, now).has_value());
}

TEST(placement_test, least_loaded_chooses_lowest_load) {
  auto const policy = make_placement_policy("least_loaded", 1);
  engines[0].in_flight = 2;
  engines[2].in_flight = 1;
  LONGS_EQUAL(1, *place(*policy, engines, {}, now));
}

TEST(placement_test, group_stays_on_one_engine_until_it_is_busy) {
  auto const policy = make_placement_policy("prefix_affinity", 1);
  std::size_t const home = *place(*policy, engines, {7, ""}, now);
  for (int round = 0; round < 10; ++round)
    LONGS_EQUAL(home, *place(*policy, engines, {7, ""}, now));
  engines[home].in_flight = 3;
  CHECK(*place(*policy, engines, {7, ""}, now) != home);
}

TEST(placement_test, groups_spread_over_engines) {
  auto const policy = make_placement_policy("prefix_affinity", 1);
  std::set<std::size_t> used;
  for (std::uint64_t group = 0; group < 50; ++group) {
    used.insert(*place(*policy, engines, {group, ""}, now));
  }
  LONGS_EQUAL(3, used.size());
}
