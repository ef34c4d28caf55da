/// @file Tests for the limits of attempts by usual response times. Each test names its load
/// pattern.

#include "balancing/attempt_times.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace frostline;
using namespace frostline::balancing;

namespace {

constexpr char k_service[] = "apps";
constexpr milliseconds k_usual{300};
constexpr milliseconds k_plenty{1500};

/// Calls of at most two attempts, 12 a second, to servers of six slots that are chosen at random.
struct simulated_load {
  static constexpr std::size_t k_calls = 20'000;
  enum class event_kind { start, early_limit, end };
  using event = std::tuple<double, event_kind, std::size_t>;
  struct call {
    double arrival, started, answer_at, end;
    std::size_t server;
    double* slot;
  };

  std::size_t servers, slow_servers;
  bool ends_early;
  std::vector<std::vector<double>> slots{servers, std::vector<double>(6)};
  std::mt19937_64 random{7};
  /// A mean of 21 ms.
  std::lognormal_distribution<double> work{std::log(21.0) - 0.125, 0.5};
  attempt_times times{};
  std::vector<call> calls{};
  std::priority_queue<event, std::vector<event>, std::greater<>> events{};
  std::vector<double> durations{};
  std::size_t second_attempts = 0;

  /// Returns the 99th percentile of the calls' durations in milliseconds.
  double run() {
    std::exponential_distribution<double> gap(0.012);
    for (double at = 0; calls.size() < k_calls; calls.push_back({at})) {
      events.emplace(at += gap(random), event_kind::start, calls.size());
    }
    while (!events.empty()) {
      auto const [at, kind, index] = events.top();
      events.pop();
      handle(at, kind, index);
    }
    std::sort(durations.begin(), durations.end());
    return durations.at(k_calls * 99 / 100);
  }
  void start(std::size_t index, double now, bool again) {
    call& entry = calls[index];
    entry.server = (entry.server + (again ? 1 + random() % (servers - 1) : random())) % servers;
    entry.slot = &*std::min_element(slots[entry.server].begin(), slots[entry.server].end());
    double const slowness = (random() % 100 == 0 ? 5 : 1) * (entry.server < slow_servers ? 6 : 1);
    *entry.slot = entry.answer_at = std::max(now, *entry.slot) + work(random) * slowness;
    entry.started = now;
    entry.end = std::min(entry.answer_at, again ? entry.arrival + 1500 : now + 300);
    events.emplace(entry.end, event_kind::end, index);
    if (again || !ends_early) return;
    double const limit(times.timeout(k_service, k_usual, k_plenty, to_time(now)).timeout.count());
    if (now + limit < entry.end) events.emplace(now + limit, event_kind::early_limit, index);
  }
  void handle(double now, event_kind kind, std::size_t index) {
    call const entry = calls[index];
    if (kind == event_kind::start) times.note_call(k_service);
    if (kind == event_kind::start) return start(index, now, false);
    if (kind == event_kind::early_limit && !times.take_token(k_service)) return;
    // The end of an attempt that was ended early.
    if (kind == event_kind::end && now != entry.end) return;
    milliseconds const took(static_cast<int>(now - entry.started));
    bool const answered = now == entry.answer_at;
    if (answered) times.note_answer(k_service, took, to_time(now));
    if (!answered) times.note_timeout(k_service, took, to_time(now));
    bool const is_last = entry.started > entry.arrival;
    if (answered || is_last) return durations.push_back(now - entry.arrival);
    *entry.slot = std::min(*entry.slot, now);
    ++second_attempts;
    start(index, now, true);
  }
  static time_point to_time(double ms) { return time_point(milliseconds(static_cast<int>(ms))); }
};

}  // namespace

TEST_GROUP(attempt_times_test) {
  attempt_times times;
  time_point now = time_point() + seconds(1000);

  void note_answers(int count, milliseconds took) {
    for (int index = 0; index < count; ++index) times.note_answer(k_service, took, now);
  }
  attempt_limit limit(milliseconds left = k_plenty) {
    return times.timeout(k_service, k_usual, left, now);
  }
};

// Load: a service with few calls. A percentile of a few measurements would end attempts at random.
TEST(attempt_times_test, few_measurements_leave_the_usual_limit) {
  note_answers(19, milliseconds(25));
  CHECK(!limit().early);
  LONGS_EQUAL(300, limit().timeout.count());
  note_answers(1, milliseconds(25));
  CHECK(limit().early);
  LONGS_EQUAL(60, limit().timeout.count());
}

// Load: one slow server of several (tail latency): its responses must not set the limit.
TEST(attempt_times_test, limit_is_twice_the_90th_percentile) {
  note_answers(95, milliseconds(50));
  note_answers(5, milliseconds(1500));
  CHECK(limit().early);
  // Buckets grow by a factor of 1.2.
  CHECK(limit().timeout >= milliseconds(2 * 50 * 10 / 12));
  CHECK(limit().timeout <= milliseconds(2 * 50 * 12 / 10 + 2));
}

// Load: one slow server holds the first attempt of a call with little time left. The second attempt
// must get half of it; a limit must never exceed the usual one or the time left.
TEST(attempt_times_test, limit_leaves_half_of_the_time_and_never_exceeds_the_usual_one) {
  note_answers(20, milliseconds(50));
  LONGS_EQUAL(40, limit(milliseconds(80)).timeout.count());
  CHECK(limit(milliseconds(80)).early);
  LONGS_EQUAL(0, limit(milliseconds(0)).timeout.count());
  CHECK(!limit(milliseconds(0)).early);
  note_answers(2000, milliseconds(5000));
  LONGS_EQUAL(300, limit().timeout.count());
  CHECK(!limit().early);
  LONGS_EQUAL(250, limit(milliseconds(250)).timeout.count() * 2);
}

// Load: a service that turns slow as a whole (retry amplification). Attempts that are ended early
// must raise the percentile, and add at most a tenth to the attempts until then.
TEST(attempt_times_test, service_that_turns_slow_gets_at_most_a_tenth_more_attempts) {
  for (int call = 0; call < 500; ++call, now += milliseconds(10)) {
    times.note_call(k_service);
    times.note_answer(k_service, milliseconds(25), now);
  }
  constexpr int k_calls = 1000;
  int ended_early = 0;
  int ended_early_later = 0;
  for (int call = 0; call < k_calls; ++call, now += milliseconds(10)) {
    times.note_call(k_service);
    attempt_limit const found = limit();
    bool const reached = found.early && found.timeout < milliseconds(140);
    bool const ends = reached && times.take_token(k_service);
    if (ends) times.note_timeout(k_service, found.timeout, now);
    times.note_answer(k_service, milliseconds(140), now);
    ended_early += ends ? 1 : 0;
    if (call >= k_calls / 2) ended_early_later += ends ? 1 : 0;
  }
  // 10 tokens were saved before.
  CHECK(ended_early > 0);
  CHECK(ended_early <= k_calls / 10 + 10);
  LONGS_EQUAL(0, ended_early_later);
  CHECK(limit().timeout >= milliseconds(240));
}

// Load: a service that answers nothing any more. Timeouts alone must raise the percentile.
TEST(attempt_times_test, timeouts_alone_raise_the_limit_to_the_usual_one) {
  note_answers(100, milliseconds(25));
  for (int attempt = 0; attempt < 200; ++attempt, now += milliseconds(20)) {
    times.note_timeout(k_service, limit().timeout, now);
  }
  CHECK(!limit().early);
  LONGS_EQUAL(300, limit().timeout.count());
}

// Load: callers with deadlines shorter than the usual response times. Their timeouts must not lower
// the percentile, since nothing is known about the responses.
TEST(attempt_times_test, timeout_below_the_percentile_does_not_lower_it) {
  note_answers(20, milliseconds(100));
  milliseconds const before = limit().timeout;
  for (int call = 0; call < 1000; ++call) times.note_timeout(k_service, milliseconds(5), now);
  LONGS_EQUAL(before.count(), limit().timeout.count());
}

// Load: a burst after calm. The budget of the calm must not allow more than ten attempts at once.
TEST(attempt_times_test, burst_after_calm_finds_ten_tokens) {
  for (int call = 0; call < 100'000; ++call) times.note_call(k_service);
  int taken = 0;
  while (times.take_token(k_service)) ++taken;
  LONGS_EQUAL(10, taken);
  for (int call = 0; call < 9; ++call) times.note_call(k_service);
  CHECK(!times.take_token(k_service));
  times.note_call(k_service);
  CHECK(times.take_token(k_service));
}

// Load: the first calls of a service. A budget that nothing has earned would exceed a tenth.
TEST(attempt_times_test, unknown_service_has_no_token) { CHECK(!times.take_token(k_service)); }

// Load: a burst after calm. Old measurements say nothing about the service now.
TEST(attempt_times_test, old_measurements_leave_the_usual_limit) {
  note_answers(500, milliseconds(25));
  now += seconds(8);
  CHECK(limit().early);
  now += seconds(2);
  CHECK(!limit().early);
  now += seconds(3600);
  CHECK(!limit().early);
}

// Load: a service that was slow and has recovered. The limit must follow within seconds.
TEST(attempt_times_test, recovery_lowers_the_limit_within_ten_seconds) {
  for (int second = 0; second < 20; ++second, now += seconds(1)) {
    note_answers(20, milliseconds(second < 10 ? 2000 : 25));
    if (second == 9) CHECK(!limit().early);
  }
  CHECK(limit().early);
  LONGS_EQUAL(60, limit().timeout.count());
}

// Load: times of very different routes of one service. A slow route with more than a tenth of the
// calls must set the limit, or its attempts would all end early.
TEST(attempt_times_test, slow_route_with_more_than_a_tenth_of_the_calls_sets_the_limit) {
  note_answers(85, milliseconds(5));
  note_answers(15, milliseconds(200));
  LONGS_EQUAL(300, limit().timeout.count());
  attempt_limit const slow_route =
      times.timeout(k_service, milliseconds(1600), milliseconds(2000), now);
  CHECK(slow_route.timeout >= milliseconds(2 * 200 * 10 / 12));
}

// Load: times of very different routes of one service. A slow route with few of the calls is cut;
// the budget must bound what this costs, and the calls of another service must not pay for it.
TEST(attempt_times_test, rare_slow_route_costs_at_most_the_budget_of_its_service) {
  times.note_call("other");
  int ended_early = 0;
  for (int call = 0; call < 1000; ++call, now += milliseconds(10)) {
    times.note_call(k_service);
    bool const slow = call % 20 == 0;
    times.note_answer(k_service, milliseconds(slow ? 200 : 5), now);
    if (slow && limit().early && times.take_token(k_service)) ++ended_early;
  }
  CHECK(ended_early <= 50);
  for (int call = 0; call < 9; ++call) times.note_call("other");
  CHECK(times.take_token("other"));
}

// Load: huge and zero times, as after a suspension of the machine. No overflow, no limit below the
// least or above the usual one.
TEST(attempt_times_test, huge_and_zero_times_give_limits_within_the_bounds) {
  note_answers(100, milliseconds(0));
  LONGS_EQUAL(60, limit().timeout.count());
  note_answers(100, milliseconds(-5));
  LONGS_EQUAL(60, limit().timeout.count());
  note_answers(1000, milliseconds::max());
  LONGS_EQUAL(300, limit().timeout.count());
  times.note_timeout(k_service, milliseconds::max(), now);
}

// Load: a clock that stands still, or goes back. Measurements must neither vanish nor be lost.
TEST(attempt_times_test, clock_that_stands_still_or_goes_back_keeps_the_measurements) {
  note_answers(100'000, milliseconds(25));
  LONGS_EQUAL(60, limit().timeout.count());
  now -= seconds(5);
  note_answers(20, milliseconds(25));
  LONGS_EQUAL(60, limit().timeout.count());
}

// Load: many configurations with new names of services. Memory must stay bounded.
TEST(attempt_times_test, number_of_services_is_bounded) {
  note_answers(20, milliseconds(25));
  for (std::size_t index = 0; index < 2 * attempt_times::k_max_services; ++index) {
    now += milliseconds(1);
    times.note_answer("service-" + std::to_string(index), milliseconds(1), now);
  }
  LONGS_EQUAL(attempt_times::k_max_services, times.services());
  CHECK(!limit().early);
}

// Load: two of five servers six times as slow, chosen at random. The slow servers' calls are more
// than a tenth, so they set the percentile: the rule must not lengthen the tail.
// One of twelve: the rule must take the slow server out of the 99th percentile.
TEST(attempt_times_test, rule_shortens_the_tail_if_few_servers_are_slow) {
  simulated_load without{5, 2, false}, with{5, 2, true};
  double const usual = without.run();
  CHECK(with.run() <= usual);
  CHECK(with.second_attempts <= without.second_attempts + simulated_load::k_calls / 10);
  simulated_load one_without{12, 1, false}, one_with{12, 1, true};
  double const one_usual = one_without.run();
  CHECK(one_with.run() <= 0.75 * one_usual);
  CHECK(one_with.second_attempts <= one_without.second_attempts + simulated_load::k_calls / 10);
}
