/// @file No delivered sample exceeds its task's freshness bound when versions are published during
/// a commit, before a repeated pull or while the owner is suspended, or when the store is down.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(freshness_test) {
  cluster system{make_run_folder("freshness"), cluster_options()};
  test_trainer trainer{system, "main"};

  void setup() override {
    system.put_task("main", 1, 4, 1);
    system.publish("main", 1);
  }

  void check_good(std::size_t wanted) {
    auto const report = check_run(system);
    CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
    LONGS_EQUAL(wanted, report.samples_delivered);
  }
};

TEST(freshness_test, versions_published_while_batches_are_committed) {
  std::atomic<bool> done{false};
  std::atomic<std::size_t> durable_count{0};
  std::thread publisher([&] {
    rpc::blocking_client client;
    std::uint64_t version = 2;
    std::size_t published_at = 0;
    while (!done) {
      // Publishing faster than delivery would leave no sample within its bound.
      bool const due = durable_count >= published_at + 4;
      if (!due) {
        pause_before_retry();
        continue;
      }
      published_at = durable_count;
      rpc::PublishVersionRequestT request;
      request.task = "main";
      request.version = version;
      auto const answer = client.call<rpc::PublishVersionRequestT, rpc::ChangeResponseT>(
          system.node(1), "OperatorService", "PublishVersion", request, milliseconds(5000));
      if (answer && answer.value().outcome == rpc::ChangeOutcome::ACCEPTED) ++version;
    }
  });
  trainer.submit(0, 32, 4, 32);
  for (std::size_t wanted = 4; wanted <= 128; wanted += 4) {
    trainer.pull_until(wanted);
    durable_count = trainer.durable_count();
  }
  done = true;
  publisher.join();
  check_good(128);
}

TEST(freshness_test, commit_overtaken_by_a_publish_is_planned_again) {
  trainer.submit(0, 2, 4, 32);
  std::uint32_t const owner = wait_for_owner(system, "main", 0, 0);
  wait_for_finished(system, "main", 0, 0, 8);
  // The store delays the commit until two versions have been published.
  system.set_faults(system.kv(), {{"slow_prefix", "/frostline/delivery/"}, {"slow_ms", 800}});
  std::thread puller([&] {
    rpc::blocking_client client;
    rpc::PullBatchRequestT request;
    request.task = "main";
    request.max_wait_ms = 5000;
    auto const answer = client.call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
        system.node(owner), "TrainerService", "PullBatch", request, milliseconds(10'000));
    if (answer) trainer.make_durable(answer.value());
  });
  system.wait_for_delayed_write("the store holds the commit back");
  system.publish("main", 2, (owner + 1) % 3);
  system.publish("main", 3, (owner + 1) % 3);
  puller.join();
  system.set_faults(system.kv(), {{"slow_ms", 0}});
  trainer.pull_until(8);
  check_good(8);
}

TEST(freshness_test, batch_pulled_again_after_publishes_is_replaced) {
  trainer.submit(0, 2, 4, 32);
  wait_for_finished(system, "main", 0, 0, 8);
  auto const first = trainer.pull(0);
  LONGS_EQUAL(4, first.value().batch->samples.size());
  system.publish("main", 2);
  system.publish("main", 3);
  // Simulates a trainer that crashed before it stored the batch and pulls with its old cursor.
  auto const again = trainer.pull(1);
  CHECK(again.value().batch != nullptr);
  LONGS_EQUAL(1, again.value().batch->number);
  CHECK(first.value().batch->identity != again.value().batch->identity);
  auto const stale_cursor = trainer.pull_at(1, first.value().batch->identity, 2);
  CHECK(stale_cursor.error().why == rpc::reason::superseded);
  trainer.make_durable(again.value());
  trainer.pull_until(8);
  check_good(8);
}

TEST(freshness_test, owner_suspended_while_versions_are_published) {
  trainer.submit(0, 2, 4, 32);
  std::uint32_t const owner = wait_for_owner(system, "main", 0, 0);
  wait_for_finished(system, "main", 0, (owner + 1) % 3, 8);
  system.process(cluster::node_name(owner)).send_signal(SIGSTOP);
  system.publish("main", 2, (owner + 1) % 3);
  system.publish("main", 3, (owner + 1) % 3);
  system.process(cluster::node_name(owner)).send_signal(SIGCONT);
  auto const answer = trainer.pull(owner, milliseconds(2000), true);
  if (answer) trainer.make_durable(answer.value());
  trainer.pull_until(8);
  check_good(8);
}

TEST(freshness_test, pull_during_an_outage_fails_without_waiting) {
  trainer.submit(0, 4, 4, 32);
  wait_for_finished(system, "main", 0, 0, 8);
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  time_point const begin = boot_clock::now();
  auto const refused = trainer.pull(0, milliseconds(10'000));
  CHECK(boot_clock::now() - begin < seconds(3));
  CHECK(refused.error().why == rpc::reason::kv_unavailable);
  CHECK(refused.error().retry_after.count() > 0);
  system.set_faults(system.kv(), {{"outage_ms", 0}});
  trainer.pull_until(16);
  check_good(16);
}
