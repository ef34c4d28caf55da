/// @file Counters of admission by memory on the metrics page.

#include <CppUTest/TestHarness.h>

#include "gateway/metrics.h"

using namespace frostline::gateway;

TEST_GROUP(memory_metrics_test){};

// Guards against counters that are mixed up or written without their pool.
TEST(memory_metrics_test, page_has_the_counters_of_each_pool) {
  node_snapshot snapshot;
  for (auto const* name : {"one", "two"}) {
    pool_snapshot pool;
    pool.name = name;
    pool.memory.admitted_over_sum = snapshot.pools.empty() ? 11 : 13;
    pool.memory.refused = snapshot.pools.empty() ? 17 : 19;
    snapshot.pools.push_back(pool);
  }
  metrics page;
  std::string const text = page.write(snapshot);
  STRCMP_CONTAINS("frostline_pool_runs_over_sum_total{pool=\"one\"} 11\n", text.c_str());
  STRCMP_CONTAINS("frostline_pool_runs_over_sum_total{pool=\"two\"} 13\n", text.c_str());
  STRCMP_CONTAINS("frostline_pool_memory_refusals_total{pool=\"one\"} 17\n", text.c_str());
  STRCMP_CONTAINS("frostline_pool_memory_refusals_total{pool=\"two\"} 19\n", text.c_str());
}
