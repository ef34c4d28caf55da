/// @file Demonstration: a training job of 512 samples over 4 weight versions, and callers, on 3
/// nodes in 3 zones, 4 engines and 2 application servers, while one engine is killed, one is
/// drained and one node is stopped. The journals are checked afterwards.

#include <signal.h>

#include <fstream>
#include <iostream>

#include "cluster.h"
#include "load/checker.h"

namespace {

using frostline::testing::child_process;
using frostline::testing::cluster;
using frostline::testing::cluster_options;

constexpr char k_task[] = "auction";
constexpr std::uint32_t k_killed_engine = 0;
constexpr std::uint32_t k_drained_engine = 1;
constexpr std::uint32_t k_stopped_node = 2;
constexpr int k_trainer_seconds = 100;
constexpr int k_caller_seconds = 12;
constexpr char k_report_path[] = "demo-report.json";

void print_line(std::string const& line) { std::cout << line << std::endl; }

std::uint64_t finished_batches(cluster& system, std::uint32_t by_node) {
  std::uint64_t batches = 0;
  for (auto const& shard : system.status(by_node).shards) batches += shard->batch;
  return batches;
}

void wait_for_batches(cluster& system, std::uint64_t wanted) {
  cluster::wait_until(
      "batch " + std::to_string(wanted) + " is committed",
      [&] { return finished_batches(system, 0) >= wanted; }, frostline::milliseconds(60'000));
}

/// Injects the failures one by one, each after further batches were committed.
void cause_failures(cluster& system) {
  wait_for_batches(system, 2);
  print_line("killing " + cluster::engine_name(k_killed_engine));
  system.process(cluster::engine_name(k_killed_engine)).kill();
  wait_for_batches(system, 5);
  print_line("draining " + cluster::engine_name(k_drained_engine));
  system.drain(cluster::engine_name(k_drained_engine));
  system.record_removal(cluster::engine_name(k_drained_engine));
  wait_for_batches(system, 8);
  print_line("stopping " + cluster::node_name(k_stopped_node) + " by SIGTERM");
  system.process(cluster::node_name(k_stopped_node)).send_signal(SIGTERM);
}

int report(cluster& system) {
  frostline::load::check_options options;
  options.folder = system.journal_folder();
  auto const verdict = frostline::load::check_journals(options);
  auto const body = verdict.to_json();
  std::ofstream(k_report_path) << boost::json::serialize(body) << '\n';
  print_line("");
  for (auto const& [key, value] : body) {
    print_line("  " + std::string(key) + ": " + boost::json::serialize(value));
  }
  print_line(verdict.is_good() ? "\nevery property held" : "\nA PROPERTY IS BROKEN");
  return verdict.is_good() ? 0 : 1;
}

int run() {
  std::string const folder = frostline::testing::make_run_folder("frostline-demo");
  print_line("logs and journals: " + folder);
  cluster_options options;
  options.nodes = 3;
  options.engines = 4;
  options.step_us = 4000;
  cluster system(folder, options);
  print_line("3 nodes, 4 engines, 2 application servers and the platform's stand-ins run");
  system.put_task(k_task, 1, 16, 2);
  system.put_route("lookup", "/lookup/", true);
  system.put_route("bid", "/bid/", false);
  std::string const journals = system.journal_folder();
  child_process trainer = system.start_load(
      "trainer.log",
      {"trainer", "--nodes=" + system.node_list(), std::string("--task=") + k_task,
       "--weights=" + system.weights().to_string(), "--steps=4", "--samples=128",
       "--max_tokens=512", "--train_ms=500", "--journal=" + journals + "/trainer.jsonl",
       "--give_up_seconds=" + std::to_string(k_trainer_seconds)});
  child_process callers =
      system.start_load("callers.log", {"callers", "--nodes=" + system.node_list(), "--rate=100",
                                        "--seconds=" + std::to_string(k_caller_seconds),
                                        "--journal=" + journals + "/callers.jsonl"});
  cause_failures(system);
  int const trainer_code = trainer.wait(k_trainer_seconds + 10);
  int const caller_code = callers.wait(k_caller_seconds + 30);
  int const node_code = system.process(cluster::node_name(k_stopped_node)).wait(30);
  print_line("trainer ended with " + std::to_string(trainer_code) + ", callers with " +
             std::to_string(caller_code) + ", stopped node with " + std::to_string(node_code));
  int const verdict = report(system);
  bool const clean = trainer_code == 0 && caller_code == 0 && node_code == 0;
  return clean ? verdict : 1;
}

}  // namespace

int main() {
  try {
    return run();
  } catch (std::exception const& failure) {
    std::cerr << "demo: " << failure.what() << '\n';
    return 1;
  }
}
