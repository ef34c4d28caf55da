/// @file Signals that arrive before a process has installed its handlers are handled later: they
/// do not end the process by their default action.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>

#include "cluster.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr int k_exit_seconds = 20;

std::string early_signals_library() { return program_path("tests/libfrostline-early-signals.so"); }

std::string numbers(std::initializer_list<int> signals) {
  std::string list;
  for (int const number : signals) list += (list.empty() ? "" : ",") + std::to_string(number);
  return list;
}

}  // namespace

TEST_GROUP(early_signals_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void setup() override {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    system = std::make_unique<platform_cluster>(options);
    system->node(0).kill();
  }
  void teardown() override {
    ::unsetenv("FROSTLINE_TEST_SIGNALS");
    system.reset();
  }

  void start_with(std::initializer_list<int> signals) {
    ::setenv("FROSTLINE_TEST_SIGNALS", numbers(signals).c_str(), 1);
    system->start_node_as_configured(0, early_signals_library());
  }
};

// Guards against gateways that end while they start because their settings change (SIGHUP).
TEST(early_signals_test, gateway_reloads_after_early_hangup) {
  start_with({SIGHUP, SIGHUP});
  platform_cluster::wait_until("the gateway is ready or has ended", [&] {
    return !system->node(0).is_running() || system->is_ready(0);
  });
  CHECK_TRUE(system->node(0).is_running());
  platform_cluster::wait_until("the settings are reloaded", [&] {
    return system->log(0).find("Settings reloaded.") != std::string::npos;
  });
  auto const answer = system->call(0, http::verb::post, "/calls/x", "early-1", "b");
  CHECK_TRUE(answer && answer.value().result() == http::status::ok);
}

// Guards against a planned stop that ends a starting gateway by the signal.
TEST(early_signals_test, gateway_stops_as_planned_after_early_termination) {
  for (int const signal : {SIGTERM, SIGINT}) {
    start_with({signal});
    LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
  }
}

// Guards against a stop that is lost, or ends the process by the signal, when settings change at
// the same time.
TEST(early_signals_test, gateway_stops_as_planned_after_hangup_and_termination) {
  start_with({SIGHUP, SIGTERM, SIGHUP});
  LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
}

// Guards against spares that end while they start.
TEST(early_signals_test, spare_waits_after_early_hangup) {
  std::ofstream(system->settings_path(0)) << "[node]\nrole = \"spare\"\nid = \"node-0\"\n";
  start_with({SIGHUP});
  platform_cluster::wait_until("the spare stands by or has ended", [&] {
    return !system->node(0).is_running() ||
           system->log(0).find("Standing by.") != std::string::npos;
  });
  CHECK_TRUE(system->node(0).is_running());
  system->node(0).send_signal(SIGTERM);
  LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
}

// Guards against nodes that end by a signal while they start.
TEST(early_signals_test, node_stops_as_planned_after_hangup_and_termination) {
  cluster nodes(make_run_folder("early-signals"), cluster_options());
  ::setenv("FROSTLINE_TEST_SIGNALS", numbers({SIGHUP, SIGTERM}).c_str(), 1);
  std::string const folder = make_run_folder("early-signals-node");
  child_process process(
      program_path("frostline"),
      {"--config=" + nodes.folder() + "/node-0.toml", "--id=late", "--data_folder=" + folder,
       "--http=" + free_endpoint("127.0.0.1").to_string(),
       "--gossip=" + free_endpoint("127.0.0.1").to_string()},
      folder + "/node.log", early_signals_library());
  LONGS_EQUAL(0, process.wait(k_exit_seconds));
}
