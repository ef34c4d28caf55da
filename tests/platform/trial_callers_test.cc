/// @file Calls that arrive while the trial of the same request decides whether it crashes servers.

#include <atomic>
#include <thread>
#include <vector>

#include "lost_crash_fixture.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_call_timeout{2'000};
constexpr milliseconds k_trial_time{200};
constexpr std::size_t k_callers = 6;

}  // namespace

TEST_GROUP_BASE(trial_callers_test, lost_crash_fixture) {
  std::atomic<std::size_t> served = 0;
  std::atomic<std::size_t> refused = 0;
  std::vector<std::thread> callers;

  void call(std::size_t node, std::string const& id, std::string const& body) {
    callers.emplace_back([this, node, id, body] {
      auto const answer =
          system.call(node, http::verb::post, "/calls/popular", id, body, k_call_timeout);
      if (!answer) return;
      if (answer.value().result_int() == 200) ++served;
      if (answer.value().body().find("quarantined") != std::string::npos) ++refused;
    });
  }

  void join_callers() {
    for (std::thread& caller : callers) caller.join();
  }

  void wait_until_all_nodes_know_the_record() {
    platform_cluster::wait_until("all nodes know the record", [&] {
      for (std::size_t node = 0; node < system.nodes(); ++node) {
        if (system.log(node).find("under quarantine") == std::string::npos) return false;
      }
      return true;
    });
  }
};

// Guards against refusing a popular request that ran on a crashing server after all nodes had
// ended, while its trial is in progress.
TEST(trial_callers_test, calls_during_the_trial_of_a_harmless_request_are_served) {
  system.set_crash_text("");
  restart_all_nodes();
  system.on_platform([&] {
    for (std::size_t app = 0; app < system.apps(); ++app) {
      system.app(app).faults().work_time = k_trial_time;
    }
    return 0;
  });
  call(0, "first", "popular");
  platform_cluster::wait_until("a server runs the call", [&] { return crash_server_of("first"); });
  wait_until_all_nodes_know_the_record();
  for (std::size_t number = 0; number < k_callers; ++number) {
    call(number % system.nodes(), "popular-" + std::to_string(number), "popular");
  }
  join_callers();
  LONGS_EQUAL(k_callers + 1, served);
}

// Guards against callers that go on waiting after the trial has crashed a server, or that run the
// request then.
TEST(trial_callers_test, calls_during_the_trial_of_a_poison_request_are_refused_at_its_crash) {
  restart_all_nodes();
  system.on_platform([&] {
    for (std::size_t app = 0; app < system.apps(); ++app) {
      system.app(app).faults().crash_after = k_trial_time;
    }
    return 0;
  });
  call(0, "first", k_poison_text);
  wait_until_all_nodes_know_the_record();
  time_point const begin = boot_clock::now();
  for (std::size_t number = 0; number < k_callers; ++number) {
    call(number % system.nodes(), "poison-" + std::to_string(number), k_poison_text);
  }
  join_callers();
  LONGS_EQUAL(k_callers, refused);
  CHECK(boot_clock::now() - begin < k_call_timeout / 2);
  LONGS_EQUAL(2, crashes());
}
