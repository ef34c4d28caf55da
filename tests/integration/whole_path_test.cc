/// @file End-to-end test with real processes: a trainer's prompts become delivered batches, and
/// callers' requests are answered.

#include <CppUTest/TestHarness.h>

#include "cluster.h"
#include "load/checker.h"

using frostline::testing::cluster;
using frostline::testing::cluster_options;

TEST_GROUP(whole_path_test){};

TEST(whole_path_test, samples_are_delivered_and_calls_answered) {
  cluster system(frostline::testing::make_run_folder("whole-path"), cluster_options());
  system.put_task("main", 1, 8, 1);
  system.put_route("lookup", "/lookup/", true);
  system.put_route("bid", "/bid/", false);
  std::string const journals = system.journal_folder();
  auto trainer =
      system.start_load("trainer.log", {"trainer", "--nodes=" + system.node_list(), "--task=main",
                                        "--weights=" + system.weights().to_string(), "--steps=2",
                                        "--samples=32", "--max_tokens=128", "--train_ms=50",
                                        "--journal=" + journals + "/trainer.jsonl"});
  auto callers =
      system.start_load("callers.log", {"callers", "--nodes=" + system.node_list(), "--rate=50",
                                        "--seconds=2", "--journal=" + journals + "/callers.jsonl"});
  LONGS_EQUAL(0, trainer.wait(60));
  LONGS_EQUAL(0, callers.wait(30));
  frostline::load::check_options options;
  options.folder = journals;
  auto const report = frostline::load::check_journals(options);
  CHECK_TRUE_TEXT(report.is_good(), boost::json::serialize(report.to_json()).c_str());
  LONGS_EQUAL(64, report.samples_delivered);
  LONGS_EQUAL(0, report.samples_unscored);
  CHECK(report.requests_made > 50);
}
