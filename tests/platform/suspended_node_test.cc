/// @file A node whose machine was suspended: the time has passed for everybody else.

#include <CppUTest/TestHarness.h>

#include <future>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_deadline{1600};
/// The deadline passes in it, and the machine sleeps long enough for the node to notice.
constexpr milliseconds k_sleep{1700};
/// From the machine's return to the answer: a node looks at its clock four times a second.
constexpr milliseconds k_answer_time{800};
/// How long the client reads on, so that it sees when an answer comes.
constexpr milliseconds k_patience{8000};

platform_options with_suspension() {
  platform_options options;
  options.suspendable = true;
  return options;
}

}  // namespace

TEST_GROUP(suspended_node_test) {
  platform_cluster system{with_suspension()};

  void silence_apps() {
    system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        system.app(index).faults().silent = true;
      }
      return 0;
    });
  }

  bool has_arrived(std::string const& request) {
    return system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        for (arrival const& one : system.app(index).arrivals()) {
          if (one.request == request) return true;
        }
      }
      return false;
    });
  }

  /// Suspends a node while servers hold a call of it, until the call's deadline has passed.
  /// @return the answer's status, and how long after the return it came.
  std::pair<unsigned, milliseconds> call_through_suspension(std::string const& path) {
    silence_apps();
    system.use_header("X-Frostline-Deadline-Ms", std::to_string(k_deadline.count()));
    auto answer = std::async(std::launch::async, [&] {
      return system.call(0, http::verb::post, path, "slept", "b", k_patience);
    });
    platform_cluster::wait_until("the call is at a server", [&] { return has_arrived("slept"); });
    time_point const begin = boot_clock::now();
    system.suspend(0);
    platform_cluster::wait_until("the machine has slept long enough",
                                 [&] { return boot_clock::now() >= begin + k_sleep; });
    system.wake(0);
    time_point const back = boot_clock::now();
    auto const got = answer.get();
    auto const after = std::chrono::duration_cast<milliseconds>(boot_clock::now() - back);
    return {got ? got.value().result_int() : 0, after};
  }
};

TEST(suspended_node_test, call_whose_deadline_passed_meanwhile_is_answered_at_once) {
  auto const [status, after] = call_through_suspension("/once/x");
  LONGS_EQUAL(504, status);
  CHECK(after < k_answer_time);
}

TEST(suspended_node_test, call_that_may_be_repeated_is_answered_at_once_too) {
  auto const [status, after] = call_through_suspension("/calls/x");
  LONGS_EQUAL(504, status);
  CHECK(after < k_answer_time);
}
