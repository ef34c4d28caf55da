/// @file frostline-load: callers and trainers as an experiment tool.

#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "load/callers.h"
#include "load/checker.h"
#include "load/hollow.h"
#include "load/trainer.h"
#include "rpc/blocking.h"

DEFINE_string(nodes, "127.0.0.1:7000", "IP:port of nodes, separated by commas");
DEFINE_string(journal, "", "file to append the journal to");
DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(task, "main", "trainer: task");
DEFINE_string(weights, "", "trainer: IP:port of the weight store");
DEFINE_uint32(steps, 4, "trainer: training steps");
DEFINE_uint32(samples, 128, "trainer: samples a step");
DEFINE_uint32(group_size, 4, "trainer: samples a prompt");
DEFINE_uint32(max_tokens, 256, "trainer: longest sample, tokens");
DEFINE_uint32(train_ms, 500, "trainer: time of a training step, milliseconds");
DEFINE_uint32(steps_ahead, 1, "trainer: steps whose prompts are submitted ahead");
DEFINE_string(stop_file, "", "trainer, callers: end when this file is there");
DEFINE_uint32(give_up_seconds, 120, "trainer: time after which it gives up");
DEFINE_double(rate, 100, "callers: calls a second");
DEFINE_double(seconds, 10, "callers: duration");
DEFINE_string(record, "", "callers: write the calls that the seed gives to this trace");
DEFINE_string(replay, "", "callers: make the calls of this trace instead");
DEFINE_double(single_share, 0.3, "callers: share of calls that must not run twice");
DEFINE_string(kv, "", "hollow: IP:port of the key-value service");
DEFINE_string(machines, "", "hollow: IP:port of the machine list");
DEFINE_string(control, "127.0.0.1:0", "hollow: IP:port for GET /report");
DEFINE_uint32(count, 1, "hollow: nodes or engines in this process");
DEFINE_uint32(first, 0, "hollow: number of the first");
DEFINE_string(zone, "zone-0", "hollow: zone of the nodes");
DEFINE_uint32(zones, 1, "hollow-engines: zones to spread engines over");
DEFINE_string(data_folder, "", "hollow: parent of the disk nodes' data folders");
DEFINE_uint32(disk_nodes, 0, "hollow: how many nodes have a disk");
DEFINE_string(folder, "", "check: folder with the journals");

namespace {

namespace json = boost::json;
using frostline::endpoint;

constexpr char k_usage[] =
    "frostline-load trainer|callers|check|hollow|hollow-engines [flags]\n\n"
    "  trainer   submits prompts, pulls batches, publishes versions; prints its idle time\n"
    "  callers   makes ordinary calls; prints latency percentiles\n"
    "  check     judges a run by the journals in --folder; exit code 1 if a property is broken\n"
    "  hollow    many whole nodes in one process, for measuring control at size\n"
    "  hollow-engines  many engine stand-ins in one process";

std::optional<std::vector<endpoint>> parse_nodes() {
  std::vector<endpoint> nodes;
  std::istringstream words(FLAGS_nodes);
  std::string word;
  while (std::getline(words, word, ',')) {
    auto const parsed = frostline::parse_endpoint(word);
    if (!parsed) return std::nullopt;
    nodes.push_back(*parsed);
  }
  if (nodes.empty()) return std::nullopt;
  return nodes;
}

void print(json::object const& report) {
  if (FLAGS_json) {
    std::cout << json::serialize(report) << '\n';
    return;
  }
  for (auto const& [key, value] : report) {
    std::cout << std::left << std::setw(30) << std::string(key) << json::serialize(value) << '\n';
  }
}

int run_trainer(std::vector<endpoint> nodes) {
  frostline::load::trainer_options options;
  options.nodes = std::move(nodes);
  options.task = FLAGS_task;
  options.weight_store = FLAGS_weights;
  options.steps = FLAGS_steps;
  options.samples_per_step = FLAGS_samples;
  options.group_size = FLAGS_group_size;
  options.max_tokens = FLAGS_max_tokens;
  options.train_time = frostline::milliseconds(FLAGS_train_ms);
  options.steps_ahead = FLAGS_steps_ahead;
  options.journal_path = FLAGS_journal;
  options.seed = FLAGS_seed;
  options.stop_file = FLAGS_stop_file;
  options.give_up_after = frostline::seconds(FLAGS_give_up_seconds);
  frostline::asio::io_context context(1);
  frostline::load::trainer trainer(context, std::move(options));
  auto const report = frostline::rpc::run_blocking(context, trainer.run());
  print({{"samples_received", report.samples_received},
         {"steps_done", report.steps_done},
         {"trainer_idle_seconds", report.idle_seconds},
         {"total_seconds", report.total_seconds},
         {"superseded_batches", report.superseded_batches},
         {"finished", report.finished}});
  return report.finished ? 0 : 1;
}

/// The calls of --replay, or those that the seed gives; written to --record if that is set.
std::optional<frostline::load::trace> choose_calls() {
  if (!FLAGS_replay.empty()) {
    auto calls = frostline::load::read_trace(FLAGS_replay);
    if (!calls) std::cerr << "frostline-load: can't read trace " << FLAGS_replay << '\n';
    return calls;
  }
  frostline::load::arrival_options options;
  options.calls_per_second = FLAGS_rate;
  options.duration = frostline::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1000));
  options.single_share = FLAGS_single_share;
  options.seed = FLAGS_seed;
  auto calls = frostline::load::draw_arrivals(options);
  if (!FLAGS_record.empty() && !frostline::load::write_trace(FLAGS_record, calls)) {
    std::cerr << "frostline-load: can't write trace " << FLAGS_record << '\n';
    return std::nullopt;
  }
  return calls;
}

int run_callers(std::vector<endpoint> nodes) {
  frostline::load::caller_options options;
  options.nodes = std::move(nodes);
  auto calls = choose_calls();
  if (!calls) return 2;
  options.calls = std::move(*calls);
  options.stop_file = FLAGS_stop_file;
  options.journal_path = FLAGS_journal;
  options.seed = FLAGS_seed;
  frostline::asio::io_context context(1);
  frostline::load::callers callers(context, std::move(options));
  auto const report = frostline::rpc::run_blocking(context, callers.run());
  print({{"calls", report.calls},
         {"answered", report.answered},
         {"given_up", report.given_up},
         {"p50_ms", report.p50_ms},
         {"p99_ms", report.p99_ms}});
  return 0;
}

int run_hollow(bool engines) {
  auto const kv = frostline::parse_endpoint(FLAGS_kv);
  auto const machines = frostline::parse_endpoint(FLAGS_machines);
  auto const control = frostline::parse_endpoint(FLAGS_control);
  if (!machines || !control || (!engines && !kv)) {
    std::cerr << "frostline-load: --kv, --machines and --control must be IP:port\n";
    return 2;
  }
  frostline::load::hollow_options options;
  if (kv) options.kv = *kv;
  options.machines = *machines;
  options.control = *control;
  options.count = FLAGS_count;
  options.first = FLAGS_first;
  options.zone = FLAGS_zone;
  options.zones = FLAGS_zones;
  options.data_folder = FLAGS_data_folder;
  options.disk_nodes = FLAGS_disk_nodes;
  frostline::start_logging("hollow", "warning");
  return engines ? frostline::load::run_hollow_engines(options)
                 : frostline::load::run_hollow_nodes(options);
}

int run_check() {
  frostline::load::check_options options;
  options.folder = FLAGS_folder;
  auto const report = frostline::load::check_journals(options);
  print(report.to_json());
  return report.is_good() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(k_usage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::string const command = argc == 2 ? argv[1] : "";
  auto const nodes = parse_nodes();
  if (command == "check" && !FLAGS_folder.empty()) return run_check();
  if (command == "hollow") return run_hollow(false);
  if (command == "hollow-engines") return run_hollow(true);
  if (command == "trainer" && nodes) return run_trainer(*nodes);
  if (command == "callers" && nodes) return run_callers(*nodes);
  std::cerr << k_usage << '\n';
  return 2;
}
