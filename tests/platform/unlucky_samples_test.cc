/// @file Samples under which engines crash. Guards against samples that are owed and that no engine
/// runs again, although engines have room.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cluster_queries.h"
#include "http/json_fields.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_unlucky_text[] = "unlucky";
/// More crashes than put a call under quarantine, and one more than its first trial meets.
constexpr std::uint32_t k_crashes = 5;
/// Time at no server, while servers have room, after which a sample counts as lost.
constexpr milliseconds k_idle_limit{5000};
/// Crash time after the wait for the first event of a run has timed out (2.5 s).
constexpr milliseconds k_crash_after_run{2550};
/// A bound between the longest time that an engine takes to be used again after a failure and
/// k_idle_limit. Engines of a sample that always crashes them are lost no more often than this.
constexpr milliseconds k_min_pace{1000};

std::vector<test_item> make_items(std::string const& job, std::size_t count) {
  std::vector<test_item> items;
  for (std::size_t index = 0; index < count; ++index) {
    items.push_back({job + "-" + std::to_string(index), "group-" + std::to_string(index)});
    items.back().scorer_path = "/open/score";
  }
  return items;
}

bool is_completed(std::optional<boost::json::object> const& listed, std::string const& id) {
  if (!listed) return false;
  auto const& results = listed->at("results").as_array();
  return std::any_of(results.begin(), results.end(), [&](auto const& result) {
    return json_text(result.as_object(), "id") == id &&
           json_text(result.as_object(), "state") == "completed";
  });
}

}  // namespace

TEST_GROUP(unlucky_samples_test) {
  platform_cluster system{with_many_servers()};
  test_item unlucky{"owed-item", "group-u"};

  void setup() override {
    unlucky.prompt = k_unlucky_text;
    unlucky.scorer_path = "/open/score";
  }

  /// Returns when runs of the unlucky sample reached engines, sorted.
  std::vector<time_point> runs() {
    return system.on_platform([&] {
      std::vector<time_point> times;
      for (std::size_t index = 0; index < system.engines(); ++index) {
        for (arrival const& entry : system.engine(index).arrivals()) {
          if (entry.request == unlucky.id && entry.ran) times.push_back(entry.at);
        }
      }
      std::sort(times.begin(), times.end());
      return times;
    });
  }

  void set_crash_after(milliseconds pause) {
    system.on_platform([&] {
      for (std::size_t index = 0; index < system.engines(); ++index) {
        system.engine(index).faults().crash_after = pause;
      }
      return 0;
    });
  }

  void wait_for_crashes(std::size_t count) {
    platform_cluster::wait_until("engines have crashed under the sample",
                                 [&] { return poison_arrivals(system).size() >= count; });
  }

  void wait_until_completed(std::size_t node, std::string const& job) {
    platform_cluster::wait_until("the sample is completed", [&] {
      return is_completed(system.results(node, job), unlucky.id);
    });
  }

  /// Checks that each run of the sample began soon after the one before, whose engine crashed.
  /// @param crash_after time from the start of a run to the crash.
  void check_no_idle_time(milliseconds crash_after = milliseconds(20)) {
    auto const times = runs();
    CHECK(times.size() > k_crashes);
    for (std::size_t index = 1; index < times.size(); ++index) {
      CHECK(times[index] - times[index - 1] < crash_after + k_idle_limit);
    }
  }

  std::size_t quarantine_records() { return count_records(system, k_quarantine_records); }
};

// Guards against a quarantine that holds a sample for minutes once a trial has met a crash, too.
TEST(unlucky_samples_test, sample_is_completed_after_five_crashes) {
  system.add_crash_budget(k_unlucky_text, k_crashes);
  auto items = make_items("job", 11);
  items.insert(items.begin() + 3, unlucky);
  LONGS_EQUAL(202, system.submit(0, "job", items));
  wait_until_completed(1, "job");
  auto const listed = system.wait_for_results(1, "job", items.size());
  for (test_item const& item : items) CHECK(is_completed(listed, item.id));
  check_no_idle_time();
  LONGS_EQUAL(0, quarantine_records());
}

// Guards against a hold that outlasts the job, since a later job may carry the same item.
TEST(unlucky_samples_test, sample_that_comes_again_in_a_later_job_is_completed) {
  system.add_crash_budget(k_unlucky_text, k_crashes);
  LONGS_EQUAL(202, system.submit(0, "job", {unlucky}));
  wait_for_crashes(k_crashes - 1);
  LONGS_EQUAL(200, system.end_job(1, "job"));
  time_point const begun = boot_clock::now();
  LONGS_EQUAL(202, system.submit(1, "again", {unlucky}));
  wait_until_completed(2, "again");
  CHECK(runs().back() - begun < k_idle_limit);
}

// Guards against a hold by evidence of engines that crash after their runs were abandoned.
TEST(unlucky_samples_test, sample_whose_abandoned_runs_crash_engines_is_completed) {
  set_crash_after(k_crash_after_run);
  system.add_crash_budget(k_unlucky_text, k_crashes);
  LONGS_EQUAL(202, system.submit(0, "job", {unlucky}));
  wait_for_crashes(k_crashes);
  wait_until_completed(1, "job");
  check_no_idle_time(k_crash_after_run);
}

// Guards against provisional records, which hold a request after a single crash.
TEST(unlucky_samples_test, sample_is_completed_although_all_nodes_restart_between_crashes) {
  system.add_crash_budget(k_unlucky_text, k_crashes);
  LONGS_EQUAL(202, system.submit(0, "job", {unlucky}));
  wait_for_crashes(3);
  for (std::size_t node = 0; node < system.nodes(); ++node) system.node(node).kill();
  for (std::size_t node = 0; node < system.nodes(); ++node) system.start_node(node);
  wait_until_completed(1, "job");
  LONGS_EQUAL(0, quarantine_records());
}

// Guards against waits for evidence that can't be stored during an outage of the store.
TEST(unlucky_samples_test, sample_runs_again_during_an_outage_of_the_store) {
  // Nodes learn of other identifiers only from the store.
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.engines(); ++index) {
      system.engine(index).set_keeps_id(true);
    }
    return 0;
  });
  LONGS_EQUAL(202, system.submit(0, "first", {{"first", "group"}}));
  system.wait_for_results(0, "first", 1);
  set_crash_after(milliseconds(200));
  system.add_crash_budget(k_unlucky_text, k_crashes);
  LONGS_EQUAL(202, system.submit(0, "job", {unlucky}));
  wait_for_crashes(1);
  set_store_silent(system, true);
  platform_cluster::wait_until("the sample has run to its end",
                               [&] { return runs().size() > k_crashes; });
  set_store_silent(system, false);
  wait_until_completed(1, "job");
  check_no_idle_time(milliseconds(200));
}

// Guards against samples that share their engines with one under which engines crash: they must
// all be completed, and none may be refused for it.
TEST(unlucky_samples_test, samples_on_full_engines_are_completed_without_a_record) {
  system.add_crash_budget(k_unlucky_text, k_crashes);
  auto items = make_items("job", 31);
  items.insert(items.begin() + 3, unlucky);
  LONGS_EQUAL(202, system.submit(0, "job", items));
  wait_for_crashes(k_crashes);
  auto const listed = system.wait_for_results(1, "job", items.size());
  for (test_item const& item : items) CHECK(is_completed(listed, item.id));
  LONGS_EQUAL(0, quarantine_records());
}

// Guards against crashes under samples that hide a stream which does crash its engines: evidence
// of samples must not explain the crashes of a call.
TEST(unlucky_samples_test, stream_that_crashes_engines_is_quarantined_beside_unlucky_samples) {
  constexpr char k_poison_text[] = "deadly";
  constexpr milliseconds k_propagation_time{3000};
  constexpr std::size_t k_retries_allowed = 3;
  system.set_crash_text(k_poison_text);
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.engines(); ++index) {
      system.engine(index).faults().work_time = milliseconds(50);
    }
    return 0;
  });
  LONGS_EQUAL(202, system.submit(0, "job", make_items("job", 32)));
  std::size_t number = 0;
  auto const send = [&] {
    static_cast<void>(system.call(number % system.nodes(), http::verb::post, "/stream/x",
                                  "deadly-" + std::to_string(number), k_poison_text,
                                  milliseconds(800)));
    ++number;
  };
  platform_cluster::wait_until("three engines have ended long enough ago", [&] {
    send();
    auto const times = poison_arrivals(system);
    return times.size() >= 3 && boot_clock::now() > times[2] + k_propagation_time;
  });
  time_point const bound = poison_arrivals(system)[2] + k_propagation_time;
  time_point const observed = boot_clock::now() + k_propagation_time;
  platform_cluster::wait_until("more tries have come", [&] {
    send();
    return boot_clock::now() > observed;
  });
  auto const times = poison_arrivals(system);
  auto const late =
      std::count_if(times.begin(), times.end(), [&](time_point at) { return at > bound; });
  CHECK(static_cast<std::size_t>(late) <= k_retries_allowed);
  auto const listed = system.wait_for_results(1, "job", 32);
  LONGS_EQUAL(32, listed.at("results").as_array().size());
}

// Guards against a sample that crashes every engine and so keeps all others from running: its runs
// must come at a limited pace.
TEST(unlucky_samples_test, sample_that_crashes_all_its_engines_leaves_room_for_others) {
  system.set_crash_text(k_unlucky_text);
  LONGS_EQUAL(202, system.submit(0, "job", {unlucky}));
  wait_for_crashes(10);
  auto const items = make_items("others", 12);
  LONGS_EQUAL(202, system.submit(1, "others", items));
  auto const listed = system.wait_for_results(2, "others", items.size());
  for (test_item const& item : items) CHECK(is_completed(listed, item.id));
  wait_for_crashes(12);
  auto const times = poison_arrivals(system);
  for (std::size_t index = 10; index < 12; ++index) {
    CHECK(times[index] - times[index - 1] > k_min_pace);
    CHECK(times[index] - times[index - 1] < k_idle_limit);
  }
}

// Guards against a text that must not mix versions and waits for an engine that still has its own:
// once no engine has it, the sample must start over.
TEST(unlucky_samples_test, text_whose_version_no_engine_has_any_more_is_made_again) {
  platform_options options;
  options.single_version = true;
  options.events = 60;
  options.event_gap = milliseconds(40);
  platform_cluster pair{options};
  auto const engine_of_run = [&]() -> std::optional<std::size_t> {
    for (std::size_t index = 0; index < pair.engines(); ++index) {
      for (arrival const& entry : pair.engine(index).arrivals()) {
        if (entry.request == unlucky.id && entry.ran) return index;
      }
    }
    return std::nullopt;
  };
  LONGS_EQUAL(202, pair.submit(0, "job", {unlucky}));
  platform_cluster::wait_until("the sample runs", [&] {
    return pair.on_platform([&] { return engine_of_run().has_value(); });
  });
  std::size_t const first = pair.on_platform([&] { return *engine_of_run(); });
  std::size_t const second = 1 - first;
  pair.on_platform([&] {
    pair.name_version(2);
    return 0;
  });
  platform_cluster::wait_until("the other engine has the new version", [&] {
    return pair.on_platform([&] { return pair.engine(second).version() == 2; });
  });
  pair.on_platform([&] {
    pair.engine(first).faults().down_time = seconds(60);
    pair.engine(first).crash();
    pair.withdraw(pair.engine(first));
    return 0;
  });
  time_point const lost = boot_clock::now();
  platform_cluster::wait_until("the sample runs at the other engine", [&] {
    return pair.on_platform([&] {
      auto const& all = pair.engine(second).arrivals();
      return std::any_of(all.begin(), all.end(), [&](arrival const& entry) {
        return entry.request == unlucky.id && entry.ran && entry.last_event.empty();
      });
    });
  });
  CHECK(boot_clock::now() - lost < k_idle_limit);
  platform_cluster::wait_until("the sample is completed",
                               [&] { return is_completed(pair.results(1, "job"), unlucky.id); });
}
