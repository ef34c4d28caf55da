/// @file Tests for the metrics of attempts that end early.

#include <CppUTest/TestHarness.h>

#include "gateway/metrics.h"

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(early_timeout_metrics_test){};

// Guards against counters that are kept but not shown, or shown under each other's name.
TEST(early_timeout_metrics_test, early_timeouts_and_denied_ones_are_shown) {
  node_snapshot snapshot;
  snapshot.calls.early_timeouts = 7;
  snapshot.calls.early_timeouts_denied = 3;
  metrics shown;
  std::string const page = shown.write(snapshot);
  CHECK(page.find("\nfrostline_early_timeouts_total 7") != std::string::npos);
  CHECK(page.find("\nfrostline_early_timeouts_denied_total 3") != std::string::npos);
}
