/// @file A gateway that ends while work is in flight ends as planned.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <cstdlib>
#include <vector>

#include "cluster.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr int k_exit_seconds = 20;
/// Longer than the planned stop takes.
constexpr milliseconds k_work_time{60'000};
/// As many as the engine has slots.
constexpr std::size_t k_samples = 8;
constexpr std::uint32_t k_events = 600;
constexpr milliseconds k_event_gap{100};

}  // namespace

TEST_GROUP(exit_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void setup() override {
    // The C library overwrites memory that is freed, so that its use after that shows.
    ::setenv("MALLOC_PERTURB_", "85", 1);
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    options.events = k_events;
    options.event_gap = k_event_gap;
    system = std::make_unique<platform_cluster>(options);
    system->on_platform([&] {
      system->app(0).faults().work_time = k_work_time;
      return 0;
    });
  }
  void teardown() override {
    system.reset();
    ::unsetenv("MALLOC_PERTURB_");
    ::unsetenv("FROSTLINE_TEST_SIGNALS");
  }
};

// Guards against processes that crash or hang at the end of a planned stop, when the coroutines of
// runs that are still in flight are destroyed after the components that they refer to.
TEST(exit_test, gateway_with_runs_in_flight_ends_as_planned) {
  std::vector<test_item> items;
  for (std::size_t index = 0; index < k_samples; ++index) {
    items.push_back({"exit-" + std::to_string(index), "group"});
  }
  LONGS_EQUAL(202, system->submit(0, "exit", items));
  auto const engine_arrivals = [&] {
    return system->on_platform([&] { return system->engine(0).arrivals().size(); });
  };
  platform_cluster::wait_until("the samples run", [&] { return engine_arrivals() >= k_samples; });
  std::size_t const before = engine_arrivals();
  system->node(0).kill();
  // The node becomes the owner while it stops, since there is no other.
  ::setenv("FROSTLINE_TEST_SIGNALS", std::to_string(SIGTERM).c_str(), 1);
  system->start_node_as_configured(0, program_path("tests/libfrostline-early-signals.so"));
  LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
  CHECK_TRUE_TEXT(engine_arrivals() > before, "no sample was run during the stop");
}
