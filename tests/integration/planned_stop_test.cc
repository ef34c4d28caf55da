/// @file A graceful shutdown under load drops no request and loses no sample.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(planned_stop_test) {
  cluster system{make_run_folder("planned-stop"), with_slow_engines()};

  void check_good() {
    auto const report = check_run(system);
    CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
  }
};

TEST(planned_stop_test, rolling_restart_interrupts_no_call_sample_or_pull) {
  system.put_task("main", 2, 16, 2);
  system.put_route("lookup", "/lookup/", true);
  system.put_route("bid", "/bid/", false);
  std::string const journals = system.journal_folder();
  auto callers = system.start_load(
      "callers.log", {"callers", "--nodes=" + system.node_list(), "--rate=150", "--seconds=14",
                      "--journal=" + journals + "/callers.jsonl"});
  auto trainer =
      system.start_load("trainer.log", {"trainer", "--nodes=" + system.node_list(), "--task=main",
                                        "--weights=" + system.weights().to_string(), "--steps=6",
                                        "--samples=64", "--max_tokens=400", "--train_ms=500",
                                        "--journal=" + journals + "/trainer.jsonl"});
  for (std::uint32_t node = 0; node < 3; ++node) {
    child_process& stopped = system.process(cluster::node_name(node));
    stopped.send_signal(SIGTERM);
    LONGS_EQUAL(0, stopped.wait(30));
    system.start_node(node);
    cluster::wait_until("the restarted node is ready", [&] {
      auto const ready = system.client().exchange(system.node(node), http::make_get("/readyz"),
                                                  milliseconds(1000));
      return ready && ready.value().result() == http::status::ok;
    });
  }
  LONGS_EQUAL(0, trainer.wait(90));
  LONGS_EQUAL(0, callers.wait(60));
  check_good();
  LONGS_EQUAL(384, check_run(system).samples_delivered);
}

TEST(planned_stop_test, long_samples_are_handed_over_after_the_drain_timeout) {
  system.put_task("main", 5, 4, 1);
  system.publish("main", 1);
  test_trainer trainer(system, "main");
  // The longest samples take about 4 s, so some are in flight when the node is stopped.
  trainer.submit(0, 16, 4, 800);
  std::uint32_t const owner = wait_for_owner(system, "main", 0, 0);
  std::uint32_t stopped = owner;
  cluster::wait_until("another node runs samples", [&] {
    for (auto const& engine : system.status(owner).engines) {
      if (engine->running >= 8) stopped = index_of(engine->controller);
      if (stopped != owner) return true;
    }
    return false;
  });
  system.process(cluster::node_name(stopped)).send_signal(SIGTERM);
  trainer.nodes_to_pull = {owner};
  trainer.pull_until(64);
  LONGS_EQUAL(0, system.process(cluster::node_name(stopped)).wait(30));
  check_good();
}

TEST(planned_stop_test, stopping_node_reports_draining_and_still_serves) {
  system.put_route("lookup", "/lookup/", true);
  cluster::wait_until("the route is in effect",
                      [&] { return system.status(1, true).routes.size() == 1; });
  system.process("node-1").send_signal(SIGTERM);
  bool draining = false;
  cluster::wait_until("readyz says draining", [&] {
    auto const ready =
        system.client().exchange(system.node(1), http::make_get("/readyz"), milliseconds(1000));
    draining = ready && ready.value().body().find("\"draining\":true") != std::string::npos;
    return draining;
  });
  auto const answer =
      system.client().exchange(system.node(1), http::make_get("/lookup/x"), milliseconds(2000));
  LONGS_EQUAL(200, answer.value().result_int());
  CHECK_FALSE(answer.value().keep_alive());
  LONGS_EQUAL(0, system.process("node-1").wait(30));
}
