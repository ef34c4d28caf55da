/// @file What a stand-in is started with.
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace frostline::standin {

struct options {
  std::string id;
  endpoint listen;
  std::string journal_path;
  std::uint64_t seed = 1;
  /// engine: samples generated at once; app: requests served at once.
  std::uint32_t slots = 16;
  /// engine: time of one generation step without load, in microseconds.
  std::uint32_t step_us = 2000;
  /// engine: added step time for each running sample, in microseconds.
  std::uint32_t step_us_per_sample = 50;
  /// engine: time to put loaded weights into force.
  std::uint32_t load_ms = 200;
  /// engine: age of its load reports.
  std::uint32_t report_lag_ms = 200;
  /// engine: time between two load reports that it keeps.
  std::uint32_t report_interval_ms = 50;
  /// engine: tokens of prompts that its prefix cache holds.
  std::uint32_t cache_tokens = 20'000;
  /// app, scorer: time for an answer.
  std::uint32_t service_ms = 2;
  /// kv, weights: requests a second; 0 is no limit.
  std::uint32_t rate_limit = 0;
  /// machines: age of the list that is served.
  std::uint32_t list_lag_ms = 0;
};

/// Each runs until the process is ended. @return exit code.
int run_kv(options const& settings);
int run_engine(options const& settings);
int run_app(options const& settings);
int run_scorer(options const& settings);
int run_machines(options const& settings);
int run_weights(options const& settings);

}  // namespace frostline::standin
