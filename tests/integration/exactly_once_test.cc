/// @file Each sample reaches its trainer exactly once when answers to commits are lost or the owner
/// is killed or suspended around a commit.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <future>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(exactly_once_test) {
  cluster system{make_run_folder("exactly-once"), cluster_options()};
  test_trainer trainer{system, "main"};

  void setup() override {
    system.put_task("main", 1, 8, 1);
    system.publish("main", 1);
  }

  void check_all_once(std::size_t wanted) {
    auto const report = check_run(system);
    CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
    LONGS_EQUAL(wanted, report.samples_delivered);
  }

  std::uint32_t owner(std::uint32_t by_node) { return wait_for_owner(system, "main", 0, by_node); }

  void wait_for_finished(std::uint32_t by_node, std::uint32_t wanted) {
    testing::wait_for_finished(system, "main", 0, by_node, wanted);
  }
};

TEST(exactly_once_test, lost_answers_to_commits_are_resolved) {
  trainer.submit(0, 8, 4, 64);
  wait_for_finished(0, 8);
  system.set_faults(system.kv(), {{"lose_answers", 3}});
  trainer.pull_until(32);
  check_all_once(32);
}

TEST(exactly_once_test, repeated_pull_hands_out_the_same_batch) {
  trainer.submit(0, 4, 4, 64);
  cluster::wait_until("a batch is available", [&] {
    auto const first = trainer.pull(0);
    return first && first.value().batch;
  });
  auto const again = trainer.pull(1);
  auto const third = trainer.pull(2);
  STRCMP_EQUAL(again.value().batch->identity.c_str(), third.value().batch->identity.c_str());
  LONGS_EQUAL(1, third.value().batch->number);
  trainer.make_durable(third.value());
  trainer.pull_until(16);
  check_all_once(16);
}

TEST(exactly_once_test, owner_killed_between_commit_and_answer) {
  trainer.submit(0, 4, 4, 64);
  std::uint32_t const killed = owner(0);
  std::uint32_t const other = (killed + 1) % 3;
  wait_for_finished(other, 16);
  system.set_faults(system.kv(), {{"slow_prefix", "/frostline/delivery/"}, {"slow_ms", 1500}});
  test_trainer impatient{system, "main"};
  auto pulling = std::async(std::launch::async, [&] {
    rpc::blocking_client client;
    rpc::PullBatchRequestT request;
    request.task = "main";
    return client
        .call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
            system.node(killed), "TrainerService", "PullBatch", request, milliseconds(10'000))
        .has_value();
  });
  system.wait_for_delayed_write("the store holds the commit back");
  system.process(cluster::node_name(killed)).kill();
  CHECK_FALSE(pulling.get());
  system.set_faults(system.kv(), {{"slow_ms", 0}});
  trainer.nodes_to_pull = {other, (killed + 2) % 3};
  trainer.pull_until(16);
  check_all_once(16);
}

TEST(exactly_once_test, owner_suspended_past_its_lease_can_not_deliver) {
  trainer.submit(0, 8, 4, 64);
  std::uint32_t const suspended = owner(0);
  std::uint32_t const other = (suspended + 1) % 3;
  wait_for_finished(other, 32);
  auto const before = shard_status(system, "main", 0, other);
  system.process(cluster::node_name(suspended)).send_signal(SIGSTOP);
  trainer.nodes_to_pull = {other, (suspended + 2) % 3};
  cluster::wait_until("another node owns the shard", [&] {
    auto const now = shard_status(system, "main", 0, other);
    return now && now->epoch > before->epoch;
  });
  trainer.pull_until(8);
  test_trainer second_trainer(system, "main");
  system.process(cluster::node_name(suspended)).send_signal(SIGCONT);
  // The previous owner sees a valid first pull. Only its commit to the store can fail.
  auto const late = second_trainer.pull(suspended, milliseconds(5000), true);
  CHECK_FALSE(late.has_value());
  system.set_faults(system.kv(), {{"hold_watches_ms", 0}});
  trainer.nodes_to_pull = {0, 1, 2};
  trainer.pull_until(32);
  check_all_once(32);
}

TEST(exactly_once_test, samples_survive_the_loss_of_their_owner) {
  trainer.submit(0, 8, 4, 64);
  std::uint32_t const killed = owner(0);
  wait_for_finished((killed + 1) % 3, 16);
  system.process(cluster::node_name(killed)).kill();
  trainer.nodes_to_pull = {(killed + 1) % 3, (killed + 2) % 3};
  trainer.pull_until(32);
  check_all_once(32);
}
