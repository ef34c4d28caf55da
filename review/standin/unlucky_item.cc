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
constexpr char k_service[] = "bidmind";
constexpr char k_target[] = R"("service":"bidmind")";
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

/// Reads the step's results until all items are listed or the step is out of time.
/// @return true if all items are listed.
bool read_step(deployment& all, std::string const& job, std::size_t items, std::int64_t until,
               record& log) {
  while (log.now() < until) {
    auto const read = all.results(1, job, 0);
    if (read && read->at("results").as_array().size() == items) return true;
    pause(k_read_interval);
  }
  return false;
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
    one.events = 30;
    one.event_gap = milliseconds(100);
    engines.push_back(&all.add_server(one));
  }
  all.put_configuration(
      configuration(1, {rollout_route("/jobs/", k_target)}, {model_service(k_service)}));
  all.start_gateways();
  std::int64_t const first_sent = log.now();
  if (all.submit(0, "/jobs/", "step-1", make_items(0, k_items)).status != 202)
    return verdict::not_run;
  while (options.trouble && log.now() < first_sent + k_crashes_until_ms) {
    crash_under_item(all, engines);
    pause(milliseconds(10));
  }
  std::int64_t const calm_from = log.now() + k_contact_time.count();
  if (read_step(all, "step-1", k_items, first_sent + k_step_ms, log)) return verdict::held;
  all.call(0, http::verb::delete_, "/api/lots/step-1", "", "", milliseconds(3000));
  // The group that wasn't whole comes again in the next step, first, and the trainer waits for it.
  std::vector<job_item> second = make_items(k_items, k_items - 1);
  second.insert(second.begin(), {k_item, "group-0"});
  std::int64_t const second_sent = log.now();
  if (all.submit(0, "/jobs/", "step-2", second).status != 202) return verdict::not_run;
  if (read_step(all, "step-2", k_items, second_sent + k_step_ms, log)) return verdict::held;
  std::int64_t last_begun = 0;
  for (server* engine : engines) {
    for (run const& done : all.on_platform([engine] { return engine->runs(); })) {
      if (done.request == k_item) last_begun = std::max(last_begun, done.began_ms);
    }
  }
  std::int64_t const idle = log.now() - std::max({last_begun, calm_from, second_sent});
  log.write("check", std::string(k_item) + " was last begun at " + std::to_string(last_begun) +
                         " ms; in this step it was at no server for " + std::to_string(idle) +
                         " ms of steady state");
  return idle >= k_idle_limit_ms ? verdict::broken : verdict::held;
}

}  // namespace frostline::review
