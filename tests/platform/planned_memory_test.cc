/// @file Admission of runs by the memory of engines, through real gateway processes.

#include <CppUTest/TestHarness.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// One engine whose cache holds a long run and five short ones by their final sizes: 450 and 110
/// tokens each.
platform_options with_little_memory(std::string const& memory_setting) {
  platform_options options;
  options.nodes = 1;
  options.engines = 1;
  options.cache_tokens = 1000;
  options.events = 20;
  options.event_gap = milliseconds(20);
  options.extra_settings = "[scheduling]\nmemory = \"" + memory_setting + "\"\n";
  return options;
}

std::vector<test_item> make_items(std::string const& job, std::size_t count,
                                  std::uint64_t length_hint) {
  std::vector<test_item> items;
  for (std::size_t index = 0; index < count; ++index) {
    test_item item;
    item.id = job + "-" + std::to_string(index);
    item.scored = false;
    item.length_hint = length_hint;
    item.generated_limit = 400;
    items.push_back(item);
  }
  return items;
}

/// Runs samples until the events per token are known, then a long run beside seven short ones, then
/// a short run alone.
void run_jobs(platform_cluster& system) {
  LONGS_EQUAL(202, system.submit(0, "first", make_items("first", 8, 100)));
  system.wait_for_results(0, "first", 8);
  std::vector<test_item> mixed = make_items("long", 1, 400);
  for (test_item const& item : make_items("short", 7, 30)) mixed.push_back(item);
  LONGS_EQUAL(202, system.submit(0, "mixed", mixed));
  system.wait_for_results(0, "mixed", 8);
  LONGS_EQUAL(202, system.submit(0, "last", make_items("last", 1, 30)));
  system.wait_for_results(0, "last", 1);
}

bool has_log(platform_cluster& system, std::string const& text) {
  return system.log(0).find(text) != std::string::npos;
}

/// Returns the line that reports the start of a request.
std::string start_line(platform_cluster& system, std::string const& request) {
  std::string const log = system.log(0);
  std::size_t at = 0;
  while ((at = log.find("Run started.", at)) != std::string::npos) {
    std::string const line = log.substr(at, log.find('\n', at) - at);
    if (line.find("\"" + request + "\"") != std::string::npos) return line;
    ++at;
  }
  return {};
}

}  // namespace

TEST_GROUP(planned_memory_test){};

// Guards against runs whose growth or end does not reach the plan: the long run would keep short
// ones out, or the last run would not find the engine idle.
TEST(planned_memory_test, short_runs_fill_the_slots_beside_a_long_one) {
  platform_cluster system(with_little_memory("on"));
  run_jobs(system);
  CHECK(has_log(system, "\"in_flight\":\"8\""));
  STRCMP_CONTAINS("\"peak_tokens\":\"110\"", start_line(system, "last-0").c_str());
}

TEST(planned_memory_test, without_the_feature_final_sizes_are_reserved) {
  platform_cluster system(with_little_memory("off"));
  run_jobs(system);
  CHECK(has_log(system, "\"in_flight\":\"6\""));
  CHECK_FALSE(has_log(system, "\"in_flight\":\"8\""));
  CHECK_FALSE(has_log(system, "peak_tokens"));
}

// Guards against events that do not reach the plan: two such runs would then be expected to end
// together, with 250 tokens each.
TEST(planned_memory_test, progress_of_a_run_lowers_the_expected_peak) {
  platform_options options = with_little_memory("on");
  options.cache_tokens = 3000;
  options.event_gap = milliseconds(100);
  platform_cluster system(options);
  LONGS_EQUAL(202, system.submit(0, "first", make_items("first", 8, 100)));
  system.wait_for_results(0, "first", 8);
  LONGS_EQUAL(202, system.submit(0, "early", make_items("early", 1, 100)));
  platform_cluster::wait_until("the early run has received events", [&] {
    auto const sent_at = system.on_platform([&] { return system.engine(0).arrivals().back().at; });
    return !start_line(system, "early-0").empty() &&
           boot_clock::now() - sent_at > 4 * options.event_gap;
  });
  LONGS_EQUAL(202, system.submit(0, "late", make_items("late", 1, 100)));
  system.wait_for_results(0, "late", 1);
  std::string const line = start_line(system, "late-0");
  std::string const field = "\"peak_tokens\":\"";
  std::size_t const at = line.find(field);
  CHECK(at != std::string::npos);
  int const peak = std::stoi(line.substr(at + field.size()));
  CHECK(peak > 250);
  CHECK(peak < 500);
}
