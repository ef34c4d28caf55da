/// @file Injects pairs of faults, drawn from a seed, while a trainer and callers run, and checks
/// the journals afterwards. The faults are written to a trace, which --trace replays.

#include <gflags/gflags.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include "cluster.h"
#include "load/checker.h"
#include "test_trainer.h"

DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_double(minutes, 2, "duration of fault injection, minutes");
DEFINE_string(trace, "", "replay this trace instead of drawing faults; lines may be removed");
DEFINE_string(report, "chaos-report.json", "file for the check's report");

namespace {

namespace json = boost::json;
using namespace frostline;
using frostline::testing::child_process;
using frostline::testing::cluster;

constexpr std::uint32_t k_nodes = 4;
constexpr std::uint32_t k_engines = 4;
constexpr char k_task[] = "main";
constexpr milliseconds k_fault_duration{4000};
constexpr milliseconds k_recovery_timeout{40'000};

enum class fault {
  kill_engine,
  kill_node,
  freeze_owner,
  kv_outage,
  lost_answers,
  partial_swap,
  operator_race,
  stop_node,
};

constexpr std::array k_fault_names = {"kill_engine",  "kill_node",    "freeze_owner",  "kv_outage",
                                      "lost_answers", "partial_swap", "operator_race", "stop_node"};

/// Two faults that are active at the same time; `target` selects the machines.
struct fault_pair {
  fault first = fault::kill_engine;
  fault second = fault::kill_engine;
  std::uint32_t target = 0;

  std::string to_string() const {
    return std::string(k_fault_names[static_cast<std::size_t>(first)]) + " " +
           k_fault_names[static_cast<std::size_t>(second)] + " " + std::to_string(target);
  }
};

fault parse_fault(std::string const& name) {
  auto const found = std::find(k_fault_names.begin(), k_fault_names.end(), name);
  if (found == k_fault_names.end()) throw std::runtime_error("unknown fault: " + name);
  return static_cast<fault>(found - k_fault_names.begin());
}

std::vector<fault_pair> read_trace(std::string const& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("can't read trace " + path);
  std::vector<fault_pair> pairs;
  std::string first;
  std::string second;
  std::uint32_t target = 0;
  while (file >> first >> second >> target) {
    pairs.push_back({parse_fault(first), parse_fault(second), target});
  }
  return pairs;
}

/// Draws `count` pairs: repeated rounds of all pairs, each round in random order.
std::vector<fault_pair> draw_pairs(std::uint64_t seed, std::size_t count) {
  std::mt19937_64 random(seed);
  std::vector<fault_pair> pairs;
  while (pairs.size() < count) {
    std::vector<fault_pair> round;
    for (std::size_t first = 0; first < k_fault_names.size(); ++first) {
      for (std::size_t second = first + 1; second < k_fault_names.size(); ++second) {
        auto const target = static_cast<std::uint32_t>(random() % 1000);
        round.push_back({static_cast<fault>(first), static_cast<fault>(second), target});
      }
    }
    std::shuffle(round.begin(), round.end(), random);
    pairs.insert(pairs.end(), round.begin(), round.end());
  }
  pairs.resize(count);
  return pairs;
}

class fault_injector {
 public:
  explicit fault_injector(cluster& system) : system_(system) {}

  /// Injects both faults, ends them and waits until all nodes are ready and batches are delivered
  /// again. @return seconds from the end of the faults until then.
  double inject(fault_pair const& pair) {
    inject(pair.first, pair.target);
    inject(pair.second, pair.target + 1);
    wait_for_fault_duration();
    for (auto const& undo : undo_) undo();
    undo_.clear();
    time_point const begin = boot_clock::now();
    std::uint64_t const before = delivered_batches();
    cluster::wait_until(
        "batches are delivered after " + pair.to_string(),
        [&] { return all_ready() && delivered_batches() > before; }, k_recovery_timeout);
    std::chrono::duration<double> const took = boot_clock::now() - begin;
    return took.count();
  }

 private:
  void inject(fault kind, std::uint32_t target) {
    std::uint32_t const node = target % k_nodes;
    std::uint32_t const engine = target % k_engines;
    switch (kind) {
      case fault::kill_engine:
        system_.process(cluster::engine_name(engine)).kill();
        undo_.push_back([this, engine] { system_.start_engine(engine); });
        break;
      case fault::kill_node:
        stop_node(node, SIGKILL);
        break;
      case fault::stop_node:
        stop_node(node, SIGTERM);
        break;
      case fault::freeze_owner:
        freeze_owner();
        break;
      case fault::kv_outage:
        system_.set_faults(system_.kv(), {{"outage_ms", k_fault_duration.count()}});
        break;
      case fault::lost_answers:
        system_.set_faults(system_.kv(), {{"lose_answers", 4}});
        undo_.push_back([this] { system_.set_faults(system_.kv(), {{"lose_answers", 0}}); });
        break;
      case fault::partial_swap:
        system_.set_faults(system_.engine(engine), {{"fail_loads", 5}});
        break;
      case fault::operator_race:
        publish_conflicting_routes();
        break;
    }
  }

  void stop_node(std::uint32_t node, int signal_number) {
    child_process& process = system_.process(cluster::node_name(node));
    if (!process.is_running()) return;
    process.send_signal(signal_number);
    undo_.push_back([this, node] {
      system_.process(cluster::node_name(node)).wait(30);
      system_.start_node(node);
    });
  }

  void freeze_owner() {
    for (std::uint32_t node = 0; node < k_nodes; ++node) {
      if (!system_.process(cluster::node_name(node)).is_running()) continue;
      std::string const owner = find_owner(node);
      if (owner.empty() || !system_.process(owner).is_running()) continue;
      system_.process(owner).send_signal(SIGSTOP);
      undo_.push_back([this, owner] {
        if (system_.process(owner).is_running()) system_.process(owner).send_signal(SIGCONT);
      });
      return;
    }
  }

  std::string find_owner(std::uint32_t by_node) {
    try {
      return testing::owner_of(system_, k_task, 0, by_node);
    } catch (std::exception const&) {
      return {};  // a fault may have stopped that node
    }
  }

  /// Puts different definitions of the same route through all nodes.
  void publish_conflicting_routes() {
    for (std::uint32_t node = 0; node < k_nodes; ++node) {
      rpc::PutRouteRequestT request;
      request.route = std::make_unique<rpc::RouteRecordT>();
      request.route->name = "raced";
      request.route->path_prefix = "/raced/" + std::to_string(node) + "/";
      request.route->backends = {cluster::app_name(node % 2)};
      auto const answer = system_.client().call<rpc::PutRouteRequestT, rpc::ChangeResponseT>(
          system_.node(node), "OperatorService", "PutRoute", request, milliseconds(2000));
      (void)answer.has_value();  // any outcome is allowed
    }
  }

  void wait_for_fault_duration() {
    time_point const end = boot_clock::now() + k_fault_duration;
    cluster::wait_until("the faults have lasted", [end] { return boot_clock::now() >= end; });
  }

  bool all_ready() {
    for (endpoint const& node : system_.nodes()) {
      auto const answer =
          system_.client().exchange(node, http::make_get("/readyz"), milliseconds(1000));
      if (!answer || answer.value().result() != http::status::ok) return false;
    }
    return true;
  }

  std::uint64_t delivered_batches() {
    std::uint64_t batches = 0;
    for (std::uint32_t node = 0; node < k_nodes; ++node) {
      try {
        std::uint64_t seen = 0;
        for (auto const& shard : system_.status(node).shards) seen += shard->batch;
        batches = std::max(batches, seen);
      } catch (std::exception const&) {
        continue;
      }
    }
    return batches;
  }

  cluster& system_;
  std::vector<std::function<void()>> undo_;
};

std::vector<fault_pair> choose_pairs() {
  if (!FLAGS_trace.empty()) return read_trace(FLAGS_trace);
  constexpr double k_seconds_a_pair = 6;
  auto const count = static_cast<std::size_t>(FLAGS_minutes * 60 / k_seconds_a_pair);
  return draw_pairs(FLAGS_seed, std::max<std::size_t>(1, count));
}

json::object summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  if (values.empty()) return {};
  return {{"median", values[values.size() / 2]}, {"longest", values.back()}};
}

int run() {
  std::string const folder = testing::make_run_folder("frostline-chaos");
  auto const pairs = choose_pairs();
  std::cout << "seed " << FLAGS_seed << ", " << pairs.size() << " pairs, files in " << folder
            << std::endl;
  testing::cluster_options options;
  options.nodes = k_nodes;
  options.engines = k_engines;
  options.disk_nodes = k_nodes;
  options.step_us = 4000;
  cluster system(folder, options);
  system.put_task(k_task, 2, 16, 1);
  system.put_route("lookup", "/lookup/", true);
  system.put_route("bid", "/bid/", false);
  std::string const journals = system.journal_folder();
  double const limit = static_cast<double>(pairs.size()) * 50 + 120;
  child_process trainer = system.start_load(
      "trainer.log", {"trainer", "--nodes=" + system.node_list(), std::string("--task=") + k_task,
                      "--weights=" + system.weights().to_string(), "--steps=100000", "--samples=64",
                      "--max_tokens=400", "--train_ms=300",
                      "--journal=" + journals + "/trainer.jsonl", "--stop_file=" + folder + "/stop",
                      "--give_up_seconds=" + std::to_string(static_cast<int>(limit))});
  child_process callers = system.start_load(
      "callers.log", {"callers", "--nodes=" + system.node_list(), "--rate=40",
                      "--seconds=" + std::to_string(limit), "--stop_file=" + folder + "/stop",
                      "--journal=" + journals + "/callers.jsonl"});
  fault_injector injector(system);
  std::vector<double> recoveries;
  std::ofstream trace(folder + "/trace.txt");
  for (fault_pair const& pair : pairs) {
    trace << pair.to_string() << std::endl;
    double const recovery = injector.inject(pair);
    recoveries.push_back(recovery);
    std::cout << pair.to_string() << ": recovered after " << recovery << " s" << std::endl;
  }
  std::ofstream(folder + "/stop") << "stop\n";
  int const trainer_code = trainer.wait(120);
  int const caller_code = callers.wait(60);
  load::check_options check;
  check.folder = journals;
  auto verdict = load::check_journals(check);
  // Killed nodes cut connections, so cut requests are reported but don't fail the run.
  std::uint64_t const cut = verdict.requests_cut;
  verdict.requests_cut = 0;
  json::object body = verdict.to_json();
  body["requests_cut"] = cut;
  body["seed"] = FLAGS_seed;
  body["pairs"] = pairs.size();
  body["recovery_seconds"] = summarize(recoveries);
  std::ofstream(FLAGS_report) << json::serialize(body) << '\n';
  std::cout << json::serialize(body) << std::endl;
  bool const good = verdict.is_good() && trainer_code == 0 && caller_code == 0;
  std::cout << (good ? "every property held"
                     : "A PROPERTY IS BROKEN; trace: " + folder + "/trace.txt")
            << std::endl;
  return good ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("frostline-chaos --seed N --minutes M [--trace FILE]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return run();
  } catch (std::exception const& failure) {
    std::cerr << "chaos, seed " << FLAGS_seed << ": " << failure.what() << '\n';
    return 1;
  }
}
