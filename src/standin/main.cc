/// @file frostline-standin: runs stand-ins of the systems around frostline.

#include <gflags/gflags.h>

#include <iostream>
#include <map>

#include "standin/options.h"

DEFINE_string(id, "standin", "name of this machine in journals and answers");
DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port");
DEFINE_string(journal, "", "file to append the journal to");
DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_uint32(slots, 16, "engine: samples generated concurrently");
DEFINE_uint32(step_us, 2000, "engine: step duration without load, microseconds");
DEFINE_uint32(step_us_per_sample, 50,
              "engine: increase of the step duration per running sample, microseconds");
DEFINE_uint32(load_ms, 200, "engine: time to activate fetched weights, milliseconds");
DEFINE_uint32(report_lag_ms, 200, "engine: age of load reports, milliseconds");
DEFINE_uint32(cache_tokens, 20000, "engine: capacity of the prefix cache, tokens");
DEFINE_uint32(service_ms, 2, "app, scorer: service time of a request, milliseconds");
DEFINE_uint32(rate_limit, 0, "kv, weights: requests per second; 0 for no limit");
DEFINE_uint32(list_lag_ms, 0, "machines: age of the returned list, milliseconds");

namespace {

constexpr char k_usage[] =
    "frostline-standin engine|app|scorer|kv|machines|weights [flags]\n\n"
    "Runs one stand-in until SIGTERM. It prints 'listening on IP:port' once it serves.\n"
    "Faults are set at run time by POST /faults with a JSON object.";

using runner = int (*)(frostline::standin::options const&);

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(k_usage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::map<std::string, runner> const kinds = {
      {"engine", frostline::standin::run_engine},     {"app", frostline::standin::run_app},
      {"scorer", frostline::standin::run_scorer},     {"kv", frostline::standin::run_kv},
      {"machines", frostline::standin::run_machines}, {"weights", frostline::standin::run_weights},
  };
  auto const kind = argc == 2 ? kinds.find(argv[1]) : kinds.end();
  auto const listen = frostline::parse_endpoint(FLAGS_listen);
  if (kind == kinds.end() || !listen) {
    std::cerr << k_usage << '\n';
    return 2;
  }
  frostline::standin::options settings;
  settings.id = FLAGS_id;
  settings.listen = *listen;
  settings.journal_path = FLAGS_journal;
  settings.seed = FLAGS_seed;
  settings.slots = FLAGS_slots;
  settings.step_us = FLAGS_step_us;
  settings.step_us_per_sample = FLAGS_step_us_per_sample;
  settings.load_ms = FLAGS_load_ms;
  settings.report_lag_ms = FLAGS_report_lag_ms;
  settings.cache_tokens = FLAGS_cache_tokens;
  settings.service_ms = FLAGS_service_ms;
  settings.rate_limit = FLAGS_rate_limit;
  settings.list_lag_ms = FLAGS_list_lag_ms;
  return kind->second(settings);
}
