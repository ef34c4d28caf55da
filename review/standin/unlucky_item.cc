/// @file Model servers crash, one after the other, while they run the same harmless item. All of
/// them come back. Is the item run again?

#include <algorithm>
#include <set>

#include "cases.h"
#include "configurations.h"
#include "deployment.h"

namespace frostline::review {
namespace {

namespace json = boost::json;

constexpr std::uint32_t k_engines = 8;
constexpr std::uint32_t k_items = 8;
constexpr std::uint32_t k_slots = 8;
constexpr char k_service[] = "bidmind";
constexpr char k_target[] = R"("service":"bidmind")";
constexpr std::uint32_t k_scorers = 3;
constexpr char k_scorer_service[] = "hammer";
constexpr char k_scorer_target[] = R"("service":"hammer")";
constexpr char k_scorer_path[] = "/scores/";
constexpr char k_item[] = "item-0";
/// Time that a trainer gives a step, as on the deployments' sheets.
constexpr std::int64_t k_step_ms = 12'000;
/// Time without a server, in steady state, after which an item counts as left lying.
constexpr std::int64_t k_idle_limit_ms = 5000;
constexpr std::int64_t k_crashes_until_ms = 5000;
constexpr milliseconds k_run_before_crash{250};
constexpr milliseconds k_down_time{600};
constexpr milliseconds k_read_interval{500};

/// Items of a step, each in a group of its own.
/// @param first number of the first item.
std::vector<job_item> make_items(std::uint32_t first, std::uint32_t count) {
  std::vector<job_item> items;
  for (std::uint32_t number = first; number < first + count; ++number) {
    items.push_back({"item-" + std::to_string(number), "group-" + std::to_string(number)});
  }
  return items;
}

/// Crashes the server that runs the item, once it has done so for a while.
void crash_under_item(deployment& all, std::vector<server*> const& engines) {
  for (server* engine : engines) {
    auto const runs_item = [&] {
      return all.on_platform([engine] { return !engine->is_down() && engine->is_running(k_item); });
    };
    if (!runs_item()) continue;
    pause(k_run_before_crash);
    if (runs_item()) all.crash_server(*engine, k_down_time);
    return;
  }
}

/// Returns how many of the engines' slots are taken.
std::uint32_t running(deployment& all, std::vector<server*> const& engines) {
  return all.on_platform([&] {
    std::uint32_t sum = 0;
    for (server* engine : engines) sum += engine->running();
    return sum;
  });
}

struct step_outcome {
  bool is_whole = false;
  /// Most slots that were taken in the last k_idle_limit_ms.
  std::uint32_t most_running = 0;
};

/// Reads the step's results until all items are listed or the step is out of time.
step_outcome read_step(deployment& all, std::vector<server*> const& engines, std::string const& job,
                       std::int64_t until, record& log) {
  step_outcome outcome;
  while (log.now() < until) {
    auto const read = all.results(1, job, 0);
    outcome.is_whole = read && read->at("results").as_array().size() == k_items;
    if (outcome.is_whole) return outcome;
    bool const counts = log.now() >= until - k_idle_limit_ms;
    if (counts) outcome.most_running = std::max(outcome.most_running, running(all, engines));
    pause(k_read_interval);
  }
  return outcome;
}

std::vector<run> all_runs(deployment& all, std::vector<server*> const& engines) {
  return all.on_platform([&] {
    std::vector<run> runs;
    for (server* engine : engines) {
      runs.insert(runs.end(), engine->runs().begin(), engine->runs().end());
    }
    return runs;
  });
}

}  // namespace

verdict play_unlucky_item(case_options const& options, record& log) {
  deployment all({options.repository}, log);
  std::vector<server*> engines;
  for (std::uint32_t index = 0; index < k_engines; ++index) {
    server_options one;
    one.id = "i-" + std::to_string(index);
    one.service = k_service;
    one.model = k_model;
    one.slots = k_slots;
    one.events = 30;
    one.event_gap = milliseconds(100);
    engines.push_back(&all.add_server(one));
  }
  for (std::uint32_t index = 0; index < k_scorers; ++index) {
    server_options one;
    one.id = "s-" + std::to_string(index);
    one.service = k_scorer_service;
    one.event_gap = milliseconds(30);
    all.add_server(one);
  }
  all.put_configuration(configuration(
      1, {rollout_route("/jobs/", k_target), safe_route(k_scorer_path, k_scorer_target)},
      {model_service(k_service), application_service(k_scorer_service)}));
  all.start_gateways();
  std::int64_t const first_sent = log.now();
  if (all.submit(0, "/jobs/", "step-1", make_items(0, k_items), k_scorer_path).status != 202)
    return verdict::not_run;
  while (options.trouble && log.now() < first_sent + k_crashes_until_ms) {
    crash_under_item(all, engines);
    pause(milliseconds(10));
  }
  std::int64_t const calm_from = log.now() + k_contact_time.count();
  if (read_step(all, engines, "step-1", first_sent + k_step_ms, log).is_whole) return verdict::held;
  all.call(0, http::verb::delete_, "/api/lots/step-1", "", "", milliseconds(3000));
  // The group that wasn't whole comes again in the next step, first, and the trainer waits for it.
  std::vector<job_item> second = make_items(k_items, k_items - 1);
  second.insert(second.begin(), {k_item, "group-0"});
  std::int64_t const second_sent = log.now();
  if (all.submit(0, "/jobs/", "step-2", second, k_scorer_path).status != 202)
    return verdict::not_run;
  step_outcome const outcome = read_step(all, engines, "step-2", second_sent + k_step_ms, log);
  if (outcome.is_whole) return verdict::held;
  std::int64_t const time_up = log.now();
  std::int64_t last_at_server = 0;
  bool was_ended_by_server = false;
  bool others_begun = false;
  for (run const& done : all_runs(all, engines)) {
    others_begun = others_begun || (done.request != k_item && done.began_ms >= second_sent);
    if (done.request != k_item) continue;
    last_at_server = std::max(last_at_server, done.ended_ms.value_or(time_up));
    was_ended_by_server = was_ended_by_server || done.finished || done.status != 200;
  }
  std::int64_t const idle = time_up - std::max({last_at_server, calm_from, second_sent});
  bool const has_room = 2 * outcome.most_running < k_engines * k_slots;
  log.write("check",
            std::string(k_item) + " was last at a server at " + std::to_string(last_at_server) +
                " ms; in this step it was at none for " + std::to_string(idle) +
                " ms of steady state; finished or failed: " + (was_ended_by_server ? "yes" : "no") +
                "; others of the step begun: " + (others_begun ? "yes" : "no") +
                "; most slots taken in the last 5 s: " + std::to_string(outcome.most_running) +
                " of " + std::to_string(k_engines * k_slots) + "; versions named: none");
  bool const left_lying = idle >= k_idle_limit_ms && !was_ended_by_server && others_begun;
  return left_lying && has_room ? verdict::broken : verdict::held;
}

}  // namespace frostline::review
