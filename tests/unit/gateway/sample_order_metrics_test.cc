/// @file Metrics of the order of samples on a node's metrics page.

#include <CppUTest/TestHarness.h>

#include "gateway/metrics.h"

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(sample_order_metrics_test){};

// Guards against a counter that operators are told to watch but that is missing from the page.
TEST(sample_order_metrics_test, runs_started_without_slack_are_counted_by_pool) {
  node_snapshot snapshot;
  pool_snapshot pool;
  pool.name = "engines-a";
  pool.runs.started_without_slack = 3;
  snapshot.pools.push_back(pool);
  std::string const page = metrics().write(snapshot);
  STRCMP_CONTAINS("frostline_pool_started_without_slack_total{pool=\"engines-a\"} 3", page.c_str());
}
