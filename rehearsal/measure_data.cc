/// @file Measures the data path: CPU of the nodes by tokens relayed per second, and memory of a
/// shard's owner by samples held.

#include <fstream>
#include <iostream>
#include <thread>

#include "cluster.h"
#include "http/json_fields.h"
#include "process_cost.h"
#include "test_trainer.h"

namespace {

namespace json = boost::json;
using namespace frostline;
using testing::cluster;

constexpr std::uint32_t k_nodes = 2;
constexpr int k_window_seconds = 5;

std::uint64_t tokens_in_journals(cluster& system, std::uint32_t engines) {
  std::uint64_t tokens = 0;
  for (std::uint32_t engine = 0; engine < engines; ++engine) {
    std::ifstream file(system.journal_folder() + "/" + cluster::engine_name(engine) + ".jsonl");
    std::string line;
    while (std::getline(file, line)) {
      auto const event = parse_json_object(line);
      if (event && json_text(*event, "event") == "generated") {
        tokens += static_cast<std::uint64_t>(json_number(*event, "tokens"));
      }
    }
  }
  return tokens;
}

double nodes_cpu(cluster& system) {
  double total = 0;
  for (std::uint32_t node = 0; node < k_nodes; ++node) {
    total += testing::cpu_seconds(system.process(cluster::node_name(node)).pid());
  }
  return total;
}

json::object measure_relay(std::uint32_t engines) {
  testing::cluster_options options;
  options.nodes = k_nodes;
  options.engines = engines;
  options.apps = 0;
  options.log_level = "warning";
  options.step_us = 5000;
  cluster system(testing::make_run_folder("frostline-relay"), options);
  system.put_task("main", 1, 64, 1);
  system.publish("main", 1);
  testing::test_trainer trainer(system, "main");
  trainer.nodes_to_pull = {0, 1};
  // Enough samples to keep every slot busy for the whole window.
  trainer.submit(0, 300 * engines, 8, 2000);
  cluster::wait_until("tokens flow", [&] { return tokens_in_journals(system, engines) > 1000; });
  std::uint64_t const tokens_before = tokens_in_journals(system, engines);
  double const cpu_before = nodes_cpu(system);
  time_point const begin = boot_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(k_window_seconds));
  std::chrono::duration<double> const took = boot_clock::now() - begin;
  double const cpu = nodes_cpu(system) - cpu_before;
  double const tokens = static_cast<double>(tokens_in_journals(system, engines) - tokens_before);
  return {{"measurement", "relay"},
          {"engines", engines},
          {"tokens_per_second", tokens / took.count()},
          {"cpu_percent", 100 * cpu / took.count()}};
}

json::object measure_memory(std::uint32_t samples) {
  testing::cluster_options options;
  options.nodes = k_nodes;
  options.engines = 0;
  options.apps = 0;
  options.log_level = "warning";
  cluster system(testing::make_run_folder("frostline-memory"), options);
  system.put_task("main", 1, 64, 1);
  system.publish("main", 1);
  std::uint32_t const owner = testing::wait_for_owner(system, "main", 0, 0);
  pid_t const process = system.process(cluster::node_name(owner)).pid();
  testing::test_trainer trainer(system, "main");
  trainer.nodes_to_pull = {0, 1};
  double const before = testing::resident_mib(process);
  constexpr std::uint32_t k_group_size = 8;
  constexpr std::uint32_t k_groups_a_call = 128;
  for (std::uint32_t group = 0; group < samples / k_group_size; group += k_groups_a_call) {
    trainer.submit(group, k_groups_a_call, k_group_size, 2000);
  }
  return {{"measurement", "memory"},
          {"samples", samples},
          {"resident_mib", testing::resident_mib(process)},
          {"added_mib", testing::resident_mib(process) - before}};
}

}  // namespace

/// Prints one JSON object per measurement.
int main() {
  try {
    for (std::uint32_t engines : {1, 2, 4, 8}) {
      std::cout << json::serialize(measure_relay(engines)) << std::endl;
    }
    for (std::uint32_t samples : {4096, 8192, 16'384, 32'768}) {
      std::cout << json::serialize(measure_memory(samples)) << std::endl;
    }
    return 0;
  } catch (std::exception const& failure) {
    std::cerr << "frostline-measure-data: " << failure.what() << '\n';
    return 1;
  }
}
