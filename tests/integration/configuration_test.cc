/// @file An accepted configuration change takes effect on all nodes within seconds and is never
/// rolled back by concurrent changes, lost answers, stale reads, compaction or outages.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(configuration_test) {
  cluster system{make_run_folder("configuration"), cluster_options()};

  void setup() override {
    system.put_task("main", 1, 8, 1);
    system.publish("main", 1);
  }

  std::uint64_t version_at(std::uint32_t node) {
    auto const status = system.status(node, true);
    return status.tasks.empty() ? 0 : status.tasks.front()->published_version;
  }

  void wait_for_version(std::uint32_t node, std::uint64_t version,
                        milliseconds timeout = milliseconds(5000)) {
    cluster::wait_until(
        "node " + std::to_string(node) + " reports version " + std::to_string(version),
        [&] { return version_at(node) == version; }, timeout);
  }

  rpc::reply<rpc::ChangeResponseT> put_bound(std::uint32_t node, std::uint32_t bound,
                                             std::int64_t expected) {
    rpc::PutTaskRequestT request;
    request.task = std::make_unique<rpc::TaskRecordT>();
    request.task->name = "main";
    request.task->model = "model-main";
    request.task->freshness_bound = bound;
    request.expected_revision = expected;
    return system.client().call<rpc::PutTaskRequestT, rpc::ChangeResponseT>(
        system.node(node), "OperatorService", "PutTask", request, milliseconds(5000));
  }
};

TEST(configuration_test, change_takes_effect_on_all_nodes_within_five_seconds) {
  for (std::uint64_t version = 2; version < 8; ++version) {
    auto const accepted = system.publish("main", version, version % 3);
    CHECK(accepted.outcome == rpc::ChangeOutcome::ACCEPTED);
    for (std::uint32_t node = 0; node < 3; ++node) wait_for_version(node, version);
  }
}

TEST(configuration_test, version_is_accepted_by_a_node_that_has_not_seen_the_previous_one) {
  for (std::uint64_t version = 2; version < 60; ++version) {
    auto const accepted = system.publish("main", version, version % 3);
    CHECK(accepted.outcome == rpc::ChangeOutcome::ACCEPTED);
  }
}

TEST(configuration_test, concurrent_change_gets_a_conflict) {
  auto const revision = static_cast<std::int64_t>(system.status(0, true).tasks.front()->revision);
  auto const first = put_bound(0, 2, revision);
  auto const second = put_bound(1, 3, revision);
  CHECK(first.value().outcome == rpc::ChangeOutcome::ACCEPTED);
  CHECK(second.value().outcome == rpc::ChangeOutcome::CONFLICT);
  LONGS_EQUAL(first.value().revision, second.value().revision);
  for (std::uint32_t node = 0; node < 3; ++node) {
    cluster::wait_until("the accepted change is in effect", [&] {
      return system.status(node, true).tasks.front()->record->freshness_bound == 2;
    });
  }
}

TEST(configuration_test, change_with_a_lost_store_answer_is_reported_as_accepted) {
  system.set_faults(system.kv(), {{"lose_answers", 1}});
  auto const change = system.publish("main", 2);
  CHECK(change.outcome == rpc::ChangeOutcome::ACCEPTED);
  wait_for_version(2, 2);
}

TEST(configuration_test, change_during_an_outage_is_refused_and_not_applied) {
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  auto const refused = put_bound(0, 9, -1);
  CHECK(refused.error().why == rpc::reason::kv_unavailable);
  system.set_faults(system.kv(), {{"outage_ms", 0}});
  cluster::wait_until("changes are accepted again", [&] {
    rpc::PublishVersionRequestT request;
    request.task = "main";
    request.version = 2;
    auto const answer = system.client().call<rpc::PublishVersionRequestT, rpc::ChangeResponseT>(
        system.node(0), "OperatorService", "PublishVersion", request, milliseconds(5000));
    return answer && answer.value().outcome == rpc::ChangeOutcome::ACCEPTED;
  });
  wait_for_version(0, 2);
  LONGS_EQUAL(1, system.status(0, true).tasks.front()->record->freshness_bound);
}

TEST(configuration_test, node_started_on_a_stale_store_uses_the_newer_state_of_its_peers) {
  auto const old_revision = system.status(0, true).config_revision;
  system.publish("main", 2);
  system.publish("main", 3);
  wait_for_version(0, 3);
  system.process("node-2").kill();
  system.set_faults(system.kv(), {{"stale_revision", old_revision}});
  system.start_node(2);
  std::uint64_t highest = 0;
  cluster::wait_until("the restarted node reports version 3", [&] {
    std::uint64_t reported = 0;
    auto const answer = system.client().call<rpc::GetStatusRequestT, rpc::GetStatusResponseT>(
        system.node(2), "OperatorService", "GetStatus", {}, milliseconds(1000));
    if (answer && !answer.value().tasks.empty()) {
      reported = answer.value().tasks.front()->published_version;
    }
    CHECK(reported >= highest);
    highest = reported;
    return reported == 3;
  });
}

TEST(configuration_test, stale_snapshot_does_not_roll_versions_back) {
  auto const old_revision = system.status(0, true).config_revision;
  system.publish("main", 2);
  for (std::uint32_t node = 0; node < 3; ++node) wait_for_version(node, 2);
  // A short outage ends all watches, so every node reads a snapshot again and gets the stale state.
  system.set_faults(system.kv(), {{"stale_revision", old_revision}, {"outage_ms", 200}});
  auto const reads_before = system.status(0, true);
  cluster::wait_until("node 0 has ignored a stale read", [&] {
    return system.process_log("node-0").find("Ignored a stale read") != std::string::npos;
  });
  for (std::uint32_t node = 0; node < 3; ++node) LONGS_EQUAL(2, version_at(node));
  system.set_faults(system.kv(), {{"stale_revision", 0}});
  system.publish("main", 3);
  for (std::uint32_t node = 0; node < 3; ++node) wait_for_version(node, 3);
}

TEST(configuration_test, changes_missed_by_compaction_are_read_from_a_snapshot) {
  system.process("node-1").send_signal(SIGSTOP);
  for (std::uint64_t version = 2; version < 6; ++version) system.publish("main", version);
  auto const revision = system.status(0, true).config_revision;
  system.set_faults(system.kv(), {{"compact_revision", revision}});
  system.process("node-1").send_signal(SIGCONT);
  wait_for_version(1, 5);
}

TEST(configuration_test, node_started_during_an_outage_gets_configuration_from_peers) {
  system.put_route("lookup", "/lookup/", true);
  cluster::wait_until("the route is in effect",
                      [&] { return system.status(0, true).routes.size() == 1; });
  system.process("node-2").kill();
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  system.start_node(2);
  cluster::wait_until("the restarted node serves calls", [&] {
    auto const answer =
        system.client().exchange(system.node(2), http::make_get("/lookup/x"), milliseconds(1000));
    return answer && answer.value().result() == http::status::ok;
  });
  LONGS_EQUAL(1, version_at(2));
}

TEST(configuration_test, node_without_peers_or_store_is_not_ready) {
  for (std::uint32_t node = 0; node < 3; ++node) {
    system.process(cluster::node_name(node)).kill();
  }
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  system.start_node(0);
  cluster::wait_until("the node answers", [&] {
    auto const answer =
        system.client().exchange(system.node(0), http::make_get("/healthz"), milliseconds(1000));
    return answer.has_value();
  });
  auto const answer =
      system.client().exchange(system.node(0), http::make_get("/lookup/x"), milliseconds(1000));
  LONGS_EQUAL(503, answer.value().result_int());
  CHECK(answer.value().body().find("not_ready") != std::string::npos);
}
