/// @file Compares policies with baselines in the simulator, for several deployments, step times and
/// seeds, and compares the simulator with real processes on one job.

#include <cmath>
#include <fstream>
#include <functional>
#include <iostream>

#include "cluster.h"
#include "http/json_fields.h"
#include "load/simulator.h"

namespace {

namespace json = boost::json;
using namespace frostline;
using load::simulation_options;
using load::simulation_report;
using testing::cluster;

/// Larger deployments run only the placement experiment.
constexpr std::uint32_t k_max_engines_for_all_experiments = 100;

struct deployment {
  std::string name;
  std::uint32_t engines = 0;
  std::uint32_t samples_per_step = 0;
};

struct variant {
  std::string name;
  std::function<void(simulation_options&)> apply;
};

struct mean_and_deviation {
  double mean = 0;
  double deviation = 0;
};

mean_and_deviation compute_mean_and_deviation(std::vector<double> const& values) {
  mean_and_deviation result;
  for (double value : values) result.mean += value / static_cast<double>(values.size());
  double squares = 0;
  for (double value : values) squares += (value - result.mean) * (value - result.mean);
  result.deviation = std::sqrt(squares / static_cast<double>(values.size()));
  return result;
}

void put(json::object& row, std::string const& name, std::vector<double> const& values) {
  mean_and_deviation const statistics = compute_mean_and_deviation(values);
  row[name] = statistics.mean;
  row[name + "_deviation"] = statistics.deviation;
}

/// Simulates a variant with several seeds and prints means and standard deviations.
void print_row(std::string const& experiment, deployment const& simulated, std::uint32_t step_ms,
               variant const& policy, std::uint32_t seeds) {
  std::vector<double> idle;
  std::vector<double> staleness;
  std::vector<double> worst;
  std::vector<double> wasted;
  std::vector<double> hits;
  std::uint32_t finished = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulation_options options;
    options.engines = simulated.engines;
    options.samples_per_step = simulated.samples_per_step;
    options.step = milliseconds(step_ms);
    options.step_per_sample = std::chrono::microseconds(step_ms * 10);
    options.seed = seed;
    policy.apply(options);
    simulation_report const report = load::simulate(options);
    if (report.finished) ++finished;
    idle.push_back(report.idle_share);
    staleness.push_back(report.staleness_mean);
    worst.push_back(report.staleness_p99);
    wasted.push_back(report.wasted_share);
    hits.push_back(report.cache_hit_share);
  }
  json::object row{{"experiment", experiment}, {"site", simulated.name}, {"step_ms", step_ms},
                   {"variant", policy.name},   {"seeds", seeds},         {"finished", finished}};
  put(row, "idle_share", idle);
  put(row, "staleness_mean", staleness);
  put(row, "staleness_p99", worst);
  put(row, "wasted_share", wasted);
  put(row, "cache_hit_share", hits);
  std::cout << json::serialize(row) << std::endl;
}

std::vector<std::pair<std::string, std::vector<variant>>> experiments() {
  auto const placement = [](std::string const& name) {
    return variant{name, [name](simulation_options& options) { options.placement = name; }};
  };
  auto const with_steps_ahead = [](std::uint32_t steps) {
    return variant{std::to_string(steps) + " steps ahead", [steps](simulation_options& options) {
                     options.steps_ahead = steps;
                     options.freshness_bound = std::max<std::uint32_t>(1, steps);
                   }};
  };
  // Prompts are two steps ahead with a freshness bound of one, so the longest samples get stale.
  auto const with_stale_runs = [](std::string const& name, bool cancel) {
    return variant{name, [cancel](simulation_options& options) {
                     options.steps_ahead = 2;
                     options.cancel_stale_runs = cancel;
                   }};
  };
  return {
      {"placement",
       {placement("round_robin"), placement("least_loaded"), placement("prefix_affinity")}},
      {"stale runs",
       {with_stale_runs("run to the end", false), with_stale_runs("cancel at once", true)}},
      {"swap order",
       {{"all at once", [](simulation_options& options) { options.load_time = seconds(5); }},
        {"rolling",
         [](simulation_options& options) {
           options.load_time = seconds(5);
           options.order = load::swap_order::rolling;
         }}}},
      {"steps ahead", {with_steps_ahead(0), with_steps_ahead(1), with_steps_ahead(2)}},
      {"crashes",
       {{"none", [](simulation_options&) {}},
        {"one in 10 min an engine",
         [](simulation_options& options) { options.mean_time_between_crashes = seconds(600); }}}},
  };
}

/// Runs the same job with real processes and in the simulator.
void compare_with_processes() {
  testing::cluster_options options;
  options.engines = 4;
  options.step_us = 4000;
  cluster system(testing::make_run_folder("frostline-emulator"), options);
  system.put_task("main", 1, 16, 1);
  auto trainer = system.start_load(
      "trainer.log", {"trainer", "--json", "--nodes=" + system.node_list(), "--task=main",
                      "--steps=4", "--samples=128", "--max_tokens=512", "--train_ms=500"});
  trainer.wait(120);
  std::ifstream log(system.folder() + "/trainer.log");
  std::string line;
  std::getline(log, line);
  auto const real = parse_json_object(line);
  if (!real) throw std::runtime_error("trainer printed no report");
  simulation_options model;
  model.engines = 4;
  model.slots = options.slots;
  model.step = std::chrono::microseconds(options.step_us);
  model.step_per_sample = std::chrono::microseconds(10);
  model.load_time = milliseconds(options.load_ms);
  model.prompt_tokens = 10;
  model.steps = 4;
  model.samples_per_step = 128;
  model.group_size = 4;
  model.max_tokens = 512;
  model.batch_size = 16;
  model.train_time = milliseconds(500);
  simulation_report const report = load::simulate(model);
  double const real_total = real->at("total_seconds").to_number<double>();
  double const real_idle = real->at("trainer_idle_seconds").to_number<double>();
  json::object row{{"experiment", "model against processes"},
                   {"processes_total_seconds", real_total},
                   {"model_total_seconds", report.total_seconds},
                   {"processes_idle_seconds", real_idle},
                   {"model_idle_seconds", report.idle_seconds},
                   {"total_error", report.total_seconds / real_total - 1}};
  std::cout << json::serialize(row) << std::endl;
}

}  // namespace

/// Arguments: number of seeds, then step times in milliseconds. Prints one JSON object per row.
int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "frostline-measure-policies SEEDS STEP_MS ...\n";
    return 2;
  }
  try {
    auto const seeds = static_cast<std::uint32_t>(std::stoul(argv[1]));
    std::vector<deployment> const deployments = {
        {"Saurashtra Tide", 8, 512}, {"Sen Vang", 9, 512}, {"letter 1", 600, 4096}};
    for (auto const& [name, variants] : experiments()) {
      for (deployment const& simulated : deployments) {
        // Loading a version on 600 engines one by one takes longer than the version is current.
        if (simulated.engines > k_max_engines_for_all_experiments && name != "placement") continue;
        for (int index = 2; index < argc; ++index) {
          auto const step_ms = static_cast<std::uint32_t>(std::stoul(argv[index]));
          for (variant const& policy : variants) print_row(name, simulated, step_ms, policy, seeds);
        }
      }
    }
    compare_with_processes();
    return 0;
  } catch (std::exception const& failure) {
    std::cerr << "frostline-measure-policies: " << failure.what() << '\n';
    return 1;
  }
}
