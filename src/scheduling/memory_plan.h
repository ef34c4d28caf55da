/// @file Expected KV cache usage of one engine over time, from the runs in flight. No I/O; reads no
/// clock: time is counted in stream events.
#pragma once

#include <cstdint>
#include <vector>

namespace frostline::scheduling {

/// Runs are expected to generate this multiple of the submitter's length hint: hints match the
/// median length, and the mean is higher.
inline constexpr std::uint64_t k_length_hint_factor = 2;

using run_id = std::uint64_t;

/// Expected KV cache usage of one run.
struct run_memory {
  /// Tokens that the run occupies from its start.
  std::uint64_t prompt_tokens = 0;
  /// Output that the submitter expects, in tokens.
  std::uint64_t hinted_tokens = 0;
  /// Largest possible output, in tokens.
  std::uint64_t output_limit = 0;
  /// Stream events in which the hinted output is generated. 0 if unknown: the run then counts with
  /// its expected final size from start to end.
  double hinted_events = 0;
  /// Stream events that the run has received, also on other engines.
  std::uint64_t events = 0;
};

/// Runs of one engine, with their growth. All runs of an engine advance by one event in the
/// engine's event gap, so remaining times are compared in events and the gap cancels out. A run
/// that stalls does not grow.
///
/// A run occupies its prompt, grows linearly with its events and frees everything at its end. It
/// ends with twice its hinted output, or once past its hint, with twice the output so far; at most
/// its limit.
class memory_plan {
 public:
  /// @param id must not be in use.
  void add(run_id id, run_memory const& memory);
  /// Sets the number of events that the run has received. Ignores unknown runs.
  void progress(run_id id, std::uint64_t events);
  /// Ignores unknown runs.
  void remove(run_id id);
  bool empty() const { return runs_.empty(); }

  /// Returns the largest expected usage at any time, in tokens.
  double peak() const { return peak_of(nullptr); }
  /// Returns true if the expected usage stays within `capacity` less the reserve at any time once
  /// the candidate is started. An idle engine admits any run.
  /// @param capacity size of the KV cache in tokens.
  bool admits(run_memory const& candidate, std::uint64_t capacity) const;

 private:
  struct planned_run {
    run_id id = 0;
    run_memory memory;
    /// Current and expected final usage, in tokens.
    double current = 0;
    double final = 0;
    double tokens_per_event = 0;
    /// Events until the expected end; infinite for a run whose growth is unknown.
    double remaining_events = 0;
  };

  static planned_run make_run(run_id id, run_memory const& memory);
  void insert(planned_run const& run);
  void update_totals();
  /// @param candidate an additional run; may be null.
  double peak_of(planned_run const* candidate) const;

  /// The run that ends last comes first.
  std::vector<planned_run> runs_;
  /// Sums over all runs, in tokens.
  double current_total_ = 0;
  double final_total_ = 0;
};

}  // namespace frostline::scheduling
