/// @file A gateway that starts, or reloads, while its settings file is being replaced takes the
/// whole file once it is there.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <boost/filesystem.hpp>
#include <fstream>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr int k_exit_seconds = 20;
constexpr int k_invalid_settings = 2;

}  // namespace

TEST_GROUP(replaced_settings_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;
  std::string whole;

  void setup() override {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    system = std::make_unique<platform_cluster>(options);
    whole = system->settings_text(0);
  }
  void teardown() override { system.reset(); }

  void write(std::string const& text) { std::ofstream(system->settings_path(0)) << text; }

  /// Starts a gateway whose settings file is not whole, and completes the file once the gateway
  /// has reported it.
  void start_and_complete() {
    system->start_node_as_configured(0);
    platform_cluster::wait_until("the gateway reports its settings or has ended", [&] {
      return !system->node(0).is_running() ||
             system->log(0).find(system->settings_path(0)) != std::string::npos;
    });
    CHECK_TRUE(system->node(0).is_running());
    write(whole);
    platform_cluster::wait_until("the gateway is ready or has ended", [&] {
      return !system->node(0).is_running() || system->is_ready(0);
    });
    CHECK_TRUE(system->node(0).is_running());
    system->node(0).kill();
  }
};

// Guards against gateways that end because their settings file is not there yet.
TEST(replaced_settings_test, gateway_waits_for_an_absent_file) {
  system->node(0).kill();
  boost::filesystem::remove(system->settings_path(0));
  start_and_complete();
}

// Guards against gateways that end because their settings file has just been truncated.
TEST(replaced_settings_test, gateway_waits_for_an_empty_file) {
  system->node(0).kill();
  write("");
  start_and_complete();
}

// Guards against gateways that end because their settings file is written in parts.
TEST(replaced_settings_test, gateway_waits_for_the_rest_of_a_file) {
  system->node(0).kill();
  for (std::size_t const part : {2, 3, 5}) {
    write(whole.substr(0, whole.size() / part));
    start_and_complete();
  }
}

// Guards against invalid settings that nobody is told of.
TEST(replaced_settings_test, gateway_with_invalid_settings_ends_with_their_code) {
  system->node(0).kill();
  write("[node]\nid = 7\n");
  system->start_node_as_configured(0);
  LONGS_EQUAL(k_invalid_settings, system->node(0).wait(k_exit_seconds));
  CHECK_TRUE(system->log(0).find("node.id: must be text") != std::string::npos);
}

// Guards against a stop that has to wait for valid settings.
TEST(replaced_settings_test, gateway_that_waits_for_settings_can_be_stopped) {
  system->node(0).kill();
  write("");
  system->start_node_as_configured(0);
  platform_cluster::wait_until("the gateway reports its settings or has ended", [&] {
    return !system->node(0).is_running() ||
           system->log(0).find(system->settings_path(0)) != std::string::npos;
  });
  system->node(0).send_signal(SIGTERM);
  LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
}

// Guards against changes of a settings file that are never read: a file that was reloaded
// half-written is completed and corrected within the same second, and no further signal comes.
TEST(replaced_settings_test, rest_of_a_reloaded_file_is_read_without_a_signal) {
  write(whole.substr(0, whole.size() / 3));
  std::time_t const written_at = boost::filesystem::last_write_time(system->settings_path(0)) + 2;
  boost::filesystem::last_write_time(system->settings_path(0), written_at);
  system->node(0).send_signal(SIGHUP);
  platform_cluster::wait_until("the gateway reports the half-written file", [&] {
    return system->log(0).find(system->settings_path(0)) != std::string::npos;
  });
  write(whole + "[log]\nlevel = 7\n");
  boost::filesystem::last_write_time(system->settings_path(0), written_at);
  // No signal was sent, so the report shows that the periodic check has seen this time.
  platform_cluster::wait_until("the periodic check reports the file", [&] {
    return system->log(0).find("log.level:") != std::string::npos;
  });
  write(whole);
  boost::filesystem::last_write_time(system->settings_path(0), written_at);
  platform_cluster::wait_until("the settings are reloaded", [&] {
    return system->log(0).find("Settings reloaded.") != std::string::npos;
  });
}
