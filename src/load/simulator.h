/// @file Discrete-event simulator of engines, a trainer and one shard's owner in virtual time. It
/// uses the node's own code for decisions (sample table, placement, ledger, spans). The same
/// options give the same report.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::load {

/// Order in which engines load a new version.
enum class swap_order { all_at_once, rolling };

struct simulation_options {
  std::uint32_t engines = 8;
  std::uint32_t slots = 16;
  /// Duration of a generation step without running samples.
  std::chrono::microseconds step{20'000};
  /// Increase of the step duration per running sample.
  std::chrono::microseconds step_per_sample{200};
  /// Time for which an engine pauses to load new weights.
  milliseconds load_time{2000};
  swap_order order = swap_order::all_at_once;
  std::uint32_t cache_tokens = 20'000;
  std::uint32_t prompt_tokens = 512;
  std::uint32_t prefill_tokens_per_step = 64;

  std::uint32_t steps = 8;
  std::uint32_t samples_per_step = 512;
  std::uint32_t group_size = 8;
  std::uint32_t max_tokens = 4096;
  std::uint32_t batch_size = 64;
  std::uint32_t steps_ahead = 1;
  milliseconds train_time{30'000};
  std::uint32_t freshness_bound = 1;
  /// Time to score and store a finished sample.
  milliseconds finish_time{10};

  std::string placement = "prefix_affinity";
  /// Cancels runs as soon as they are too stale to be delivered.
  bool cancel_stale_runs = true;
  /// Mean time between crashes of one engine; 0 for none.
  milliseconds mean_time_between_crashes{0};
  milliseconds restart_time{20'000};
  std::uint64_t seed = 1;
  /// The simulation stops after this much virtual time.
  milliseconds limit{8 * 3600 * 1000};
};

struct simulation_report {
  bool finished = false;
  double total_seconds = 0;
  double idle_seconds = 0;
  /// Share of the total time that the trainer waits for samples.
  double idle_share = 0;
  double staleness_mean = 0;
  double staleness_p99 = 0;
  std::uint64_t samples = 0;
  std::uint64_t tokens_delivered = 0;
  std::uint64_t tokens_generated = 0;
  /// Generated tokens that were not delivered.
  double wasted_share = 0;
  double cache_hit_share = 0;
};

simulation_report simulate(simulation_options const& options);

}  // namespace frostline::load
