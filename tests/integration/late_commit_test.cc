/// @file A committed batch is handed out even if the store's answer is late and versions published
/// meanwhile make its samples exceed the freshness bound.

#include <CppUTest/TestHarness.h>

#include <thread>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// Samples take over a second, so none can be rerun while the store's answer is delayed.
cluster_options very_slow_engines() {
  cluster_options options;
  options.step_us = 40'000;
  return options;
}

}  // namespace

TEST_GROUP(late_commit_test) {
  cluster system{make_run_folder("late-commit"), very_slow_engines()};
  test_trainer trainer{system, "main"};
};

TEST(late_commit_test, samples_of_a_commit_answered_after_publishes_reach_the_trainer) {
  system.put_task("main", 1, 4, 1);
  system.publish("main", 1);
  trainer.submit(0, 2, 4, 32);
  std::uint32_t const owner = wait_for_owner(system, "main", 0, 0);
  wait_for_finished(system, "main", 0, 0, 8);
  system.set_faults(system.kv(),
                    {{"slow_prefix", "/frostline/delivery/"}, {"late_answer_ms", 700}});
  std::size_t handed_out = 0;
  std::thread puller([&] {
    rpc::blocking_client client;
    rpc::PullBatchRequestT request;
    request.task = "main";
    request.max_wait_ms = 5000;
    auto const answer = client.call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
        system.node(owner), "TrainerService", "PullBatch", request, milliseconds(10'000));
    if (!answer || !answer.value().batch) return;
    handed_out = answer.value().batch->samples.size();
    trainer.make_durable(answer.value());
  });
  system.wait_for_delayed_write("the commit has taken effect");
  system.publish("main", 2, (owner + 1) % 3);
  system.publish("main", 3, (owner + 1) % 3);
  puller.join();
  system.set_faults(system.kv(), {{"late_answer_ms", 0}});
  LONGS_EQUAL(4, handed_out);
  trainer.pull_until(8);
  auto const report = check_run(system);
  CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
  LONGS_EQUAL(8, report.samples_delivered);
}
