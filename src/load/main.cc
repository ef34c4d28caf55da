/// @file frostline-load: callers, trainers and emulated systems for experiments.

#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "load/callers.h"
#include "load/checker.h"
#include "load/emulation.h"
#include "load/trainer.h"
#include "rpc/blocking.h"

DEFINE_string(nodes, "127.0.0.1:7000", "IP:port of nodes, separated by commas");
DEFINE_string(journal, "", "file to append the journal to");
DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(task, "main", "trainer: task");
DEFINE_string(weights, "", "trainer: IP:port of the weight store");
DEFINE_uint32(steps, 4, "trainer: training steps");
DEFINE_uint32(samples, 128, "trainer: samples per step");
DEFINE_uint32(group_size, 4, "trainer: samples per prompt");
DEFINE_uint32(max_tokens, 256, "trainer: maximum length of a sample, tokens");
DEFINE_uint32(train_ms, 500, "trainer: duration of a training step, milliseconds");
DEFINE_uint32(steps_ahead, 1, "trainer: steps whose prompts are submitted ahead");
DEFINE_string(stop_file, "", "trainer, callers: end once this file exists");
DEFINE_uint32(give_up_seconds, 120, "trainer: time limit of the run, seconds");
DEFINE_double(rate, 100, "callers: calls per second");
DEFINE_double(seconds, 10, "callers: duration, seconds");
DEFINE_string(record, "", "callers: write the generated calls to this trace");
DEFINE_string(replay, "", "callers: replay this trace instead of generating calls");
DEFINE_double(single_share, 0.3, "callers: share of calls that must not run twice");
DEFINE_string(kv, "", "hollow: IP:port of the key-value service");
DEFINE_string(machines, "", "hollow: IP:port of the machine list");
DEFINE_string(control, "127.0.0.1:0", "hollow: IP:port for GET /report");
DEFINE_uint32(count, 1, "hollow: nodes or engines in this process");
DEFINE_uint32(first, 0, "hollow: number of the first node or engine");
DEFINE_string(zone, "zone-0", "hollow: zone of the nodes");
DEFINE_uint32(zones, 1, "hollow-engines: zones to spread engines over");
DEFINE_string(data_folder, "", "hollow: parent of the disk nodes' data folders");
DEFINE_uint32(disk_nodes, 0, "hollow: number of nodes with a disk");
DEFINE_string(folder, "", "check: folder with the journals");

namespace {

namespace json = boost::json;
using frostline::endpoint;

constexpr char k_usage[] =
    "frostline-load trainer|callers|check|hollow|hollow-engines [flags]\n\n"
    "  trainer   submits prompts, pulls batches, publishes versions; prints its idle time\n"
    "  callers   makes ordinary calls; prints latency percentiles\n"
    "  check     checks the journals in --folder; exit code 1 if a property is violated\n"
    "  hollow    emulates many nodes in one process, to measure the control plane\n"
    "  hollow-engines  emulates many engines in one process";

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
  options.timeout = frostline::seconds(FLAGS_give_up_seconds);
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

/// Reads the trace of --replay, or draws calls from --seed and writes them to --record, if set.
std::optional<frostline::load::trace> load_or_generate_calls() {
  if (!FLAGS_replay.empty()) {
    auto calls = frostline::load::read_trace(FLAGS_replay);
    if (!calls) std::cerr << "frostline-load: can't read trace " << FLAGS_replay << '\n';
    return calls;
  }
  frostline::load::arrival_options options;
  options.calls_per_second = FLAGS_rate;
  options.duration = frostline::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1000));
  options.at_most_once_share = FLAGS_single_share;
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
  auto calls = load_or_generate_calls();
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
         {"given_up", report.abandoned},
         {"p50_ms", report.p50_ms},
         {"p99_ms", report.p99_ms}});
  return 0;
}

int run_emulation(bool engines) {
  auto const kv = frostline::parse_endpoint(FLAGS_kv);
  auto const machines = frostline::parse_endpoint(FLAGS_machines);
  auto const control = frostline::parse_endpoint(FLAGS_control);
  if (!machines || !control || (!engines && !kv)) {
    std::cerr << "frostline-load: --kv, --machines and --control must be IP:port\n";
    return 2;
  }
  frostline::load::emulation_options options;
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
  return engines ? frostline::load::run_emulated_engines(options)
                 : frostline::load::run_emulated_nodes(options);
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
  if (command == "hollow") return run_emulation(false);
  if (command == "hollow-engines") return run_emulation(true);
  if (command == "trainer" && nodes) return run_trainer(*nodes);
  if (command == "callers" && nodes) return run_callers(*nodes);
  std::cerr << k_usage << '\n';
  return 2;
}
