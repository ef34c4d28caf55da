/// @file Estimates how long runs of samples take, from the lengths and speeds of completed runs.
/// Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace frostline::scheduling {

/// What is known of the runs of one model.
struct model_pace {
  /// Completed runs that the averages contain; 0 if the values are defaults.
  std::uint32_t runs = 0;
  /// Moving geometric mean of the events per unit of the submitter's length hint. A geometric mean
  /// keeps single hints that are far off from outweighing the others.
  double events_per_hint = 1.0;
  /// Moving average of the events of a run. Used for samples without a hint.
  double events_per_run = 32.0;
  /// Moving average of the time between two events of a run, in milliseconds. Until the first
  /// measurement the time of a typical model, so that estimates follow the hints.
  double event_ms = 50.0;
  bool has_event_time = false;

  /// Returns true if enough runs are known to judge whether a job can still meet its due time.
  bool is_reliable() const;
};

/// What determines the length of one run.
struct run_length {
  /// Units that the submitter expects; 0 if it gave no hint.
  std::uint64_t length_hint = 0;
  /// Most events of the run; 0 if unknown.
  std::uint64_t max_events = 0;
  /// Events received so far.
  std::uint64_t events = 0;
};

/// Expected number of events of a run, at most `max_events`.
double expected_events(model_pace const& pace, run_length const& run);

/// Expected time until the run's text is complete. Run lengths are heavy-tailed, so a run that has
/// exceeded its estimate is expected to need as long again as it has run, within `max_events`.
milliseconds expected_time_left(model_pace const& pace, run_length const& run);

/// Lower bound of the time left, for judging whether a due time can still be met: a run that has
/// exceeded its estimate may end at any event.
milliseconds least_time_left(model_pace const& pace, run_length const& run);

/// Measures the mean time between the events of one run.
class event_timer {
 public:
  /// Records events that arrived together.
  /// @param paused true if the engine may have paused the run since the previous events.
  void note_events(std::size_t count, bool paused, time_point now);
  /// Returns the mean in milliseconds; nothing if the run was paused or has too few events.
  std::optional<double> event_ms() const;

 private:
  std::optional<time_point> first_at_;
  time_point last_at_{};
  /// Events after those that arrived together with the first one.
  std::size_t after_first_ = 0;
  bool was_paused_ = false;
};

class run_estimate {
 public:
  /// Models that are remembered; runs of further models are not learned from.
  static constexpr std::size_t k_max_models = 64;

  /// Records a completed run.
  /// @param length_hint the submitter's hint; 0 if it gave none.
  void note_completed(std::string const& model, std::uint64_t length_hint, std::uint64_t events);
  /// Records the mean time between the events of a run.
  void note_event_time(std::string const& model, double event_ms);
  /// Returns the expected number of events of a run with this length hint; 0 while too few runs of
  /// the model were completed.
  double hinted_events(std::string const& model, std::uint64_t length_hint) const;
  /// Returns what is known of a model; defaults for an unknown model. A model without event times
  /// has the mean of the others.
  model_pace pace_of(std::string const& model) const;

 private:
  /// Returns null if the table is full.
  model_pace* find_or_add(std::string const& model);

  std::map<std::string, model_pace> models_;
};

}  // namespace frostline::scheduling
