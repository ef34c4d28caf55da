/// @file Calls on a node whose machine was suspended must be answered by their deadline, or soon
/// after the node resumes.

#include <CppUTest/TestHarness.h>

#include <future>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// Call timeout of the routes in the stand-ins' configuration.
constexpr milliseconds k_route_timeout{2000};
/// The call's deadline passes during the long suspension, and shortly after the short one.
constexpr milliseconds k_long_suspension{2200};
constexpr milliseconds k_short_suspension{1700};
/// Maximum time from the deadline, or from the resume, to the answer; a node checks its clock four
/// times a second.
constexpr milliseconds k_max_answer_delay{800};
/// Longer than the call's deadline, so that the client sees when the answer arrives.
constexpr milliseconds k_read_timeout{8000};

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
        for (arrival const& entry : system.app(index).arrivals()) {
          if (entry.request == request) return true;
        }
      }
      return false;
    });
  }

  /// Suspends a node while servers are processing one of its calls.
  /// @return the answer's status, and its delay after the deadline or the resume.
  std::pair<unsigned, milliseconds> call_across_suspension(std::string const& path,
                                                           milliseconds duration) {
    silence_apps();
    time_point const begin = boot_clock::now();
    auto answer = std::async(std::launch::async, [&] {
      return system.call(0, http::verb::post, path, "slept", "b", k_read_timeout);
    });
    platform_cluster::wait_until("the call is at a server", [&] { return has_arrived("slept"); });
    system.suspend(0);
    platform_cluster::wait_until("the machine has been suspended long enough",
                                 [&] { return boot_clock::now() >= begin + duration; });
    system.resume(0);
    time_point const due = std::max(boot_clock::now(), begin + k_route_timeout);
    auto const got = answer.get();
    auto const late = std::chrono::duration_cast<milliseconds>(boot_clock::now() - due);
    return {got ? got.value().result_int() : 0, late};
  }
};

TEST(suspended_node_test, call_whose_deadline_passed_meanwhile_is_answered_immediately) {
  auto const [status, late] = call_across_suspension("/once/x", k_long_suspension);
  LONGS_EQUAL(504, status);
  CHECK(late < k_max_answer_delay);
}

TEST(suspended_node_test, call_whose_deadline_passes_after_the_resume_is_answered_in_time) {
  auto const [status, late] = call_across_suspension("/once/x", k_short_suspension);
  LONGS_EQUAL(504, status);
  CHECK(late < k_max_answer_delay);
}

TEST(suspended_node_test, repeatable_call_is_answered_immediately_too) {
  auto const [status, late] = call_across_suspension("/calls/x", k_long_suspension);
  LONGS_EQUAL(504, status);
  CHECK(late < k_max_answer_delay);
}
