/// @file Guards against lost evidence, when all nodes end together, of scorers' calls.

#include "lost_crash_fixture.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP_BASE(lost_crash_scorer_test, lost_crash_fixture){};

TEST(lost_crash_scorer_test, bound_holds_for_a_scorers_call) {
  // The text must not stand in the item's identifier, which is part of the sample's body.
  test_item poison{"scored", "group"};
  poison.scorer_path = "/open/score";
  poison.scorer_body = k_poison_text;
  kill_nodes_at_third_crash(poison);
  CHECK(crashes() <= k_crashes_allowed + k_retries_allowed);
}
