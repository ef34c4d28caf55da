/// @file Each sample lists exactly the weight versions that produced it, across swaps during a
/// sample, partly failed swaps, crashes, restarts and suspended controllers.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(versions_test) {
  cluster system{make_run_folder("versions"), with_slow_engines()};
  test_trainer trainer{system, "main"};

  void setup() override {
    system.put_task("main", 5, 8, 1);
    system.publish("main", 1);
  }

  load::check_report check_good(std::size_t wanted) {
    auto const report = check_run(system);
    CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
    LONGS_EQUAL(wanted, report.samples_delivered);
    return report;
  }

  std::unique_ptr<rpc::EngineStatusT> engine_status(std::string const& name,
                                                    std::uint32_t by_node) {
    for (auto& engine : system.status(by_node).engines) {
      if (engine->id == name) return std::move(engine);
    }
    return nullptr;
  }

  void wait_for_version(std::string const& engine, std::uint64_t version,
                        std::uint32_t by_node = 0) {
    cluster::wait_until(engine + " holds version " + std::to_string(version), [&] {
      auto const status = engine_status(engine, by_node);
      return status && !status->versions.empty() && status->versions.front()->version == version;
    });
  }

  void wait_for_running(std::string const& engine) {
    cluster::wait_until(engine + " runs samples", [&] {
      auto const status = engine_status(engine, 0);
      return status && status->running >= 8;
    });
  }
};

TEST(versions_test, sample_lists_both_versions_of_a_swap) {
  trainer.submit(0, 16, 4, 400);
  wait_for_running("engine-0");
  system.publish("main", 2);
  trainer.pull_until(64);
  CHECK(check_good(64).samples_spanning_versions > 0);
}

TEST(versions_test, partly_failed_swap_is_reported_and_retried) {
  wait_for_version("engine-0", 1);
  wait_for_version("engine-1", 1);
  system.set_faults(system.engine(0), {{"fail_loads", 4}});
  trainer.submit(0, 16, 4, 100);
  system.publish("main", 2);
  wait_for_version("engine-1", 2);
  cluster::wait_until("the failed swap is in the status", [&] {
    auto const status = engine_status("engine-0", 0);
    return status && status->swap_error == "swap failed" && status->versions.front()->version == 1;
  });
  wait_for_version("engine-0", 2);
  trainer.pull_until(64);
  check_good(64);
}

TEST(versions_test, samples_of_a_killed_engine_continue_on_another) {
  trainer.submit(0, 16, 4, 400);
  wait_for_running("engine-0");
  system.process("engine-0").kill();
  system.publish("main", 2);
  trainer.pull_until(64);
  CHECK(check_good(64).samples_spanning_versions > 0);
}

TEST(versions_test, restarted_engine_loads_the_published_version) {
  wait_for_version("engine-0", 1);
  system.publish("main", 2);
  wait_for_version("engine-0", 2);
  system.process("engine-0").kill();
  system.start_engine(0);
  wait_for_version("engine-0", 2);
  trainer.submit(0, 16, 4, 100);
  trainer.pull_until(64);
  check_good(64);
}

TEST(versions_test, late_answers_of_a_suspended_controller_are_ignored) {
  wait_for_version("engine-0", 1);
  wait_for_version("engine-1", 1);
  std::uint32_t const shard_owner = wait_for_owner(system, "main", 0, 0);
  std::string controller;
  std::string engine;
  for (auto const& status : system.status(0).engines) {
    bool const controlled = !status->controller.empty();
    if (!controlled || index_of(status->controller) == shard_owner) continue;
    controller = status->controller;
    engine = status->id;
  }
  CHECK_FALSE(controller.empty());
  trainer.submit(0, 16, 4, 400);
  wait_for_running(engine);
  system.process(controller).send_signal(SIGSTOP);
  trainer.nodes_to_pull = {shard_owner};
  trainer.pull_until(48);
  system.process(controller).send_signal(SIGCONT);
  trainer.pull_until(64);
  check_good(64);
}
