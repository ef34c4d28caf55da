/// @file Checks the properties of a run against the journals of trainers, engines, application
/// servers, callers, operators and the key-value stand-in, independently of frostline's own
/// counters.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace frostline::load {

struct check_report {
  std::uint64_t samples_requested = 0;
  std::uint64_t samples_delivered = 0;
  std::uint64_t samples_lost = 0;
  std::uint64_t samples_duplicated = 0;
  std::uint64_t samples_over_bound = 0;
  std::uint64_t samples_with_wrong_versions = 0;
  std::uint64_t samples_spanning_versions = 0;
  std::uint64_t samples_unscored = 0;
  std::uint64_t requests_made = 0;
  std::uint64_t requests_cut = 0;
  std::uint64_t requests_run_twice = 0;
  std::uint64_t refused_but_run = 0;
  std::uint64_t answers_wrong = 0;
  std::uint64_t sent_after_leaving = 0;
  double trainer_idle_seconds = 0;
  double staleness_mean = 0;
  double caller_p50_ms = 0;
  double caller_p99_ms = 0;
  bool trainers_finished = true;

  /// Returns true if no violation was counted and all trainers finished. Unscored samples and
  /// samples that span versions are not violations.
  bool is_good() const;
  boost::json::object to_json() const;
};

struct check_options {
  /// Folder with the journals (*.jsonl).
  std::string folder;
  /// Milliseconds from the `leaving` event of an engine or application server after which each
  /// request that it receives counts in `sent_after_leaving`.
  std::uint64_t leaving_limit_ms = 3000;
};

check_report check_journals(check_options const& options);

}  // namespace frostline::load
