/// @file Options of the stand-ins.
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
  /// engine: samples generated concurrently; app: requests served concurrently.
  std::uint32_t slots = 16;
  /// engine: duration of a generation step without running samples, in microseconds.
  std::uint32_t step_us = 2000;
  /// engine: increase of the step duration per running sample, in microseconds.
  std::uint32_t step_us_per_sample = 50;
  /// engine: time to activate fetched weights.
  std::uint32_t load_ms = 200;
  /// engine: minimum age of a returned load report.
  std::uint32_t report_lag_ms = 200;
  /// engine: interval of load reports.
  std::uint32_t report_interval_ms = 50;
  /// engine: capacity of the prefix cache, in tokens.
  std::uint32_t cache_tokens = 20'000;
  /// app, scorer: service time of a request.
  std::uint32_t service_ms = 2;
  /// kv, weights: requests per second; 0 for no limit.
  std::uint32_t rate_limit = 0;
  /// machines: age of the returned list.
  std::uint32_t list_lag_ms = 0;
};

/// Each of these runs a stand-in until SIGTERM or SIGINT. @return exit code.
int run_kv(options const& settings);
int run_engine(options const& settings);
int run_app(options const& settings);
int run_scorer(options const& settings);
int run_machines(options const& settings);
int run_weights(options const& settings);

}  // namespace frostline::standin
