/// @file Guards against taking lost evidence for evidence that never existed.

#include "quarantine/evidence_horizon.h"

#include <CppUTest/TestHarness.h>

#include "quarantine/suspect_table.h"

using namespace frostline;
using namespace frostline::quarantine;

TEST_GROUP(evidence_horizon_test) {
  evidence_horizon horizon;
  time_point const start{milliseconds(1'000'000)};
};

TEST(evidence_horizon_test, nothing_is_missing_in_the_first_run) {
  CHECK_FALSE(horizon.may_lack_evidence(start));
  horizon.note_first_run(start);
  CHECK_FALSE(horizon.may_lack_evidence(start));
  CHECK(horizon.age(start) == k_evidence_retention);
}

TEST(evidence_horizon_test, evidence_may_be_missing_until_it_would_have_expired) {
  horizon.note_previous_run(start);
  CHECK(horizon.may_lack_evidence(start));
  CHECK(horizon.may_lack_evidence(start + k_evidence_retention - milliseconds(1)));
  CHECK_FALSE(horizon.may_lack_evidence(start + k_evidence_retention));
}

TEST(evidence_horizon_test, older_evidence_of_a_peer_completes_it) {
  horizon.note_previous_run(start);
  CHECK(horizon.extend(k_evidence_retention, start + seconds(1)));
  CHECK_FALSE(horizon.may_lack_evidence(start + seconds(1)));
}

TEST(evidence_horizon_test, peer_that_started_with_this_node_completes_nothing) {
  horizon.note_previous_run(start);
  CHECK_FALSE(horizon.extend(milliseconds(1000), start + seconds(1)));
  CHECK(horizon.extend(milliseconds(1300), start + seconds(1)));
  CHECK(horizon.may_lack_evidence(start + seconds(1)));
  CHECK(horizon.age(start + seconds(1)) == milliseconds(1300));
}

TEST(evidence_horizon_test, node_that_has_read_no_records_claims_no_evidence) {
  CHECK_FALSE(horizon.extend(seconds(5), start));
  CHECK(horizon.age(start) == milliseconds(0));
}
