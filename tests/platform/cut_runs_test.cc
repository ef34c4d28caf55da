/// @file Guards against uncounted crashes: a server that crashes shortly after this side abandoned
/// its run, so that no connection breaks under it, must still count towards the quarantine.

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_poison_text[] = "deadly";
/// Time after the third crash from which on only a few retries may reach a server.
constexpr milliseconds k_propagation_time{3000};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::size_t k_retries_allowed = 3;
/// Calls made after the quarantine takes effect.
constexpr std::size_t k_tries_after_bound = 12;
constexpr milliseconds k_read_timeout{800};
constexpr milliseconds k_short_read_timeout{40};
/// Time from the arrival of a poison request to the crash, after the caller has disconnected.
constexpr milliseconds k_slow_crash{60};
/// Crash time after an attempt of a repeatable call has been abandoned (300 ms).
constexpr milliseconds k_crash_after_attempt{340};
/// Crash time after the wait for the first event of a sample's run has timed out (2.5 s).
constexpr milliseconds k_crash_after_run{2550};
/// More crashes than put a call under quarantine, and one more than its first trial meets.
constexpr std::uint32_t k_sample_crashes = 5;
/// Time at no engine after which a sample counts as lost.
constexpr milliseconds k_sample_idle_limit{5000};

}  // namespace

TEST_GROUP(cut_runs_test) {
  platform_cluster system{with_many_servers()};
  std::size_t next_try = 0;
  std::size_t next_other = 0;
  milliseconds crash_after{0};

  void crash_servers_after(milliseconds pause) {
    crash_after = pause;
    system.set_crash_text(k_poison_text);
    system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        system.app(index).faults().crash_after = pause;
      }
      for (std::size_t index = 0; index < system.engines(); ++index) {
        system.engine(index).faults().crash_after = pause;
      }
      return 0;
    });
  }

  bool is_quarantine_due() {
    auto const times = poison_arrivals(system);
    return times.size() >= k_crashes_allowed &&
           boot_clock::now() > times[k_crashes_allowed - 1] + k_propagation_time;
  }

  std::size_t late_arrivals() {
    auto const times = poison_arrivals(system);
    if (times.size() < k_crashes_allowed) return 0;
    time_point const bound = times[k_crashes_allowed - 1] + k_propagation_time;
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](time_point at) { return at > bound; }));
  }

  bool is_any_server_down() {
    return system.on_platform([&] {
      for (std::size_t index = 0; index < system.apps(); ++index) {
        if (system.app(index).is_down()) return true;
      }
      for (std::size_t index = 0; index < system.engines(); ++index) {
        if (system.engine(index).is_down()) return true;
      }
      return false;
    });
  }

  /// Waits until crashed servers have restarted, so that other requests don't lose their
  /// connections, and the next node serves other requests.
  void wait_for_service(std::string const& path) {
    platform_cluster::wait_until("servers are back", [&] {
      auto const times = poison_arrivals(system);
      bool const over = times.empty() || boot_clock::now() > times.back() + 2 * crash_after;
      return over && !is_any_server_down();
    });
    platform_cluster::wait_until("other requests are served", [&] {
      auto const answer =
          system.call(next_try % system.nodes(), http::verb::post, path,
                      "other-" + std::to_string(next_other++), "harmless", k_read_timeout);
      return answer && answer.value().result_int() == 200;
    });
  }

  /// Sends the poison request and closes the connection early.
  void call_and_disconnect(std::string const& path) {
    std::size_t const number = next_try++;
    system.call_and_disconnect(number % system.nodes(), path, "deadly-" + std::to_string(number),
                               k_poison_text, k_short_read_timeout);
  }

  /// Sends the poison request with a short deadline.
  void call_with_short_deadline(std::string const& path) {
    std::size_t const number = next_try++;
    // The answer is ignored: the test counts arrivals at the servers.
    static_cast<void>(system.call(number % system.nodes(), http::verb::post, path,
                                  "deadly-" + std::to_string(number), k_poison_text,
                                  k_short_read_timeout));
  }

  void keep_trying(std::string const& path, std::function<void()> const& try_once) {
    platform_cluster::wait_until("three servers have ended long enough ago", [&] {
      wait_for_service(path);
      try_once();
      return is_quarantine_due();
    });
    for (std::size_t number = 0; number < k_tries_after_bound; ++number) {
      wait_for_service(path);
      try_once();
    }
  }
};

TEST(cut_runs_test, safe_call_is_quarantined_although_callers_disconnect) {
  crash_servers_after(k_slow_crash);
  keep_trying("/calls/x", [&] { call_and_disconnect("/calls/x"); });
  CHECK(late_arrivals() <= k_retries_allowed);
}

TEST(cut_runs_test, unsafe_call_is_quarantined_although_callers_disconnect) {
  crash_servers_after(k_slow_crash);
  keep_trying("/once/x", [&] { call_and_disconnect("/once/x"); });
  CHECK(late_arrivals() <= k_retries_allowed);
}

TEST(cut_runs_test, stream_is_quarantined_although_readers_disconnect) {
  crash_servers_after(k_slow_crash);
  keep_trying("/stream/x", [&] { call_and_disconnect("/stream/x"); });
  CHECK(late_arrivals() <= k_retries_allowed);
}

TEST(cut_runs_test, call_is_quarantined_although_deadlines_pass_first) {
  crash_servers_after(k_slow_crash);
  keep_trying("/once/x", [&] { call_with_short_deadline("/once/x"); });
  CHECK(late_arrivals() <= k_retries_allowed);
}

TEST(cut_runs_test, scorer_call_with_abandoned_attempts_is_quarantined) {
  crash_servers_after(k_crash_after_attempt);
  test_item item{"scored", "group"};
  item.scorer_path = "/open/score";
  item.scorer_body = k_poison_text;
  LONGS_EQUAL(202, system.submit(0, "job", {item}));
  platform_cluster::wait_until("the quarantine is in effect", [&] { return is_quarantine_due(); });
  time_point const observed = boot_clock::now() + k_propagation_time;
  platform_cluster::wait_until("more tries would have come",
                               [&] { return boot_clock::now() > observed; });
  CHECK(late_arrivals() <= k_retries_allowed);
}

// Guards against a sample that is held back because engines crashed after its runs were abandoned.
TEST(cut_runs_test, sample_with_abandoned_runs_is_completed) {
  crash_servers_after(k_crash_after_run);
  system.set_crash_text("");
  system.add_crash_budget(k_poison_text, k_sample_crashes);
  test_item item{"sampled", "group"};
  item.prompt = k_poison_text;
  LONGS_EQUAL(202, system.submit(0, "job", {item}));
  platform_cluster::wait_until("more engines have crashed than put a call under quarantine",
                               [&] { return poison_arrivals(system).size() == k_sample_crashes; });
  // Further jobs with the same sample, as after a step that ended without it.
  LONGS_EQUAL(202, system.submit(1, "again", {item}));
  LONGS_EQUAL(202, system.submit(2, "once-more", {item}));
  for (char const* job : {"job", "again", "once-more"}) system.wait_for_results(0, job, 1);
  auto const times = poison_arrivals(system);
  for (std::size_t index = 1; index < times.size(); ++index) {
    CHECK(times[index] - times[index - 1] < k_crash_after_run + k_sample_idle_limit);
  }
  LONGS_EQUAL(0, count_records(system, k_quarantine_records));
}

TEST(cut_runs_test, call_that_crashes_no_server_is_not_refused_after_disconnects) {
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.apps(); ++index) {
      system.app(index).faults().work_time = 2 * k_short_read_timeout;
    }
    return 0;
  });
  for (std::size_t number = 0; number < k_tries_after_bound; ++number)
    call_and_disconnect("/calls/x");
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    auto const answer = system.call(node, http::verb::post, "/calls/x",
                                    "stays-" + std::to_string(node), k_poison_text, k_read_timeout);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer.value().result_int());
  }
  LONGS_EQUAL(0, count_records(system, k_quarantine_records));
}

TEST(cut_runs_test, sample_without_a_reachable_engine_is_not_suspected) {
  // The engines are down before the job is submitted, so its runs can't connect.
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.engines(); ++index) {
      system.engine(index).faults().down_time = milliseconds(1000);
      system.engine(index).crash();
    }
    return 0;
  });
  LONGS_EQUAL(202, system.submit(0, "job", {{"harmless", "group"}}));
  system.wait_for_results(0, "job", 1);
  std::size_t const owner = system.owner();
  CHECK(system.log(owner).find("Run started.") != std::string::npos);
  CHECK(system.log(owner).find("Server ended under a request.") == std::string::npos);
}
