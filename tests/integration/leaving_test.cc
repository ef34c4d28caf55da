/// @file A leaving back end gets no new requests after three seconds, whichever source reports it,
/// and a node cut off from the store and all peers stops sending requests.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "http/json_fields.h"
#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(leaving_test) {
  cluster system{make_run_folder("leaving"), cluster_options()};

  void setup() override {
    system.put_route("lookup", "/lookup/", true);
    for (std::uint32_t node = 0; node < 3; ++node) {
      cluster::wait_until("the route is in effect",
                          [&] { return system.status(node, true).routes.size() == 1; });
    }
  }

  std::string server_of_call(std::uint32_t node) {
    auto const answer = system.client().exchange(system.node(node), http::make_get("/lookup/x"),
                                                 milliseconds(3000));
    auto const body = answer ? parse_json_object(answer.value().body()) : std::nullopt;
    return body ? json_text(*body, "server") : std::string();
  }

  /// Calls through all nodes for four seconds and fails if `back_end` serves a call after three.
  void check_nothing_reaches(std::string const& back_end) {
    time_point const limit = boot_clock::now() + seconds(3);
    time_point const end = limit + seconds(1);
    int late = 0;
    int served = 0;
    while (boot_clock::now() < end) {
      for (std::uint32_t node = 0; node < 3; ++node) {
        bool const after = boot_clock::now() > limit;
        std::string const server = server_of_call(node);
        if (after && server == back_end) ++late;
        if (after && !server.empty()) ++served;
      }
    }
    LONGS_EQUAL(0, late);
    CHECK(served > 10);
  }
};

TEST(leaving_test, drained_by_the_operator) {
  system.drain("app-0");
  check_nothing_reaches("app-0");
}

TEST(leaving_test, reported_by_a_machine_list_that_flaps) {
  system.list_machine("app-0", "leaving", 1);
  cluster::wait_until("node 0 lists a leaving back end", [&] {
    auto const status = system.status(0, true);
    return !status.leaving.empty();
  });
  system.list_machine("app-0", "live", 1);
  check_nothing_reaches("app-0");
  system.list_machine("app-0", "live", 2);
  cluster::wait_until("the new incarnation serves", [&] { return server_of_call(0) == "app-0"; });
}

TEST(leaving_test, reported_by_the_back_end) {
  system.set_faults(system.app(0), {{"leaving", true}});
  check_nothing_reaches("app-0");
}

TEST(leaving_test, reported_by_an_idle_back_end) {
  // Without calls, nodes learn this only from health probes and from their peers.
  system.set_faults(system.app(0), {{"leaving", true}});
  for (std::uint32_t node = 0; node < 3; ++node) {
    cluster::wait_until(
        "node " + std::to_string(node) + " lists a leaving back end",
        [&] { return !system.status(node, true).leaving.empty(); }, milliseconds(3000));
  }
  for (int call = 0; call < 20; ++call) {
    for (std::uint32_t node = 0; node < 3; ++node)
      STRCMP_EQUAL("app-1", server_of_call(node).c_str());
  }
}

TEST(leaving_test, leaving_engine_gets_no_samples) {
  system.put_task("main", 1, 4, 1);
  system.publish("main", 1);
  test_trainer trainer(system, "main");
  system.set_faults(system.engine(0), {{"leaving", true}});
  system.record_removal("engine-0");
  cluster::wait_until("engine-0 is listed as leaving", [&] {
    for (auto const& engine : system.status(0).engines) {
      if (engine->id == "engine-0") return engine->state == "leaving";
    }
    return false;
  });
  trainer.submit(0, 16, 4, 64);
  trainer.pull_until(64);
  auto const report = check_run(system);
  CHECK_TRUE_TEXT(report.is_good(), describe(report).c_str());
}

// A node that reaches neither the store nor another node must refuse calls, because it may miss
// drains accepted elsewhere.
TEST(leaving_test, isolated_node_sends_nothing) {
  // Before the outage, node 0 serves calls.
  CHECK_FALSE(server_of_call(0).empty());
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  system.process("node-1").send_signal(SIGSTOP);
  system.process("node-2").send_signal(SIGSTOP);
  time_point const begin = boot_clock::now();
  cluster::wait_until("node 0 refuses", [&] { return server_of_call(0).empty(); });
  CHECK(boot_clock::now() - begin < milliseconds(3500));
  auto const refused =
      system.client().exchange(system.node(0), http::make_get("/lookup/x"), milliseconds(3000));
  LONGS_EQUAL(503, refused.value().result_int());
  CHECK(refused.value().body().find("cut_off") != std::string::npos);
  CHECK_FALSE(http::header(refused.value(), "Retry-After").empty());
  system.process("node-1").send_signal(SIGCONT);
  system.process("node-2").send_signal(SIGCONT);
  cluster::wait_until("node 0 serves again", [&] { return !server_of_call(0).empty(); });
}
