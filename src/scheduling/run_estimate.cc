#include "scheduling/run_estimate.h"

#include <algorithm>
#include <cmath>

namespace frostline::scheduling {
namespace {

/// Runs after which a model's averages are reliable: a step has more than ten times as many.
constexpr std::uint32_t k_reliable_runs = 8;
/// Lowest weight of a new run in the averages: they follow a change within about one step.
constexpr double k_min_weight = 1.0 / 64;
/// A single value counts as at most this multiple or fraction of the average.
constexpr double k_max_deviation = 4.0;
/// Bound of estimates, for hints of any size.
constexpr double k_max_events = 1e6;
/// Events of a run, after the first, from which its time per event is taken. In shorter runs the
/// delivery of events in bursts distorts the mean.
constexpr std::size_t k_min_measured_events = 4;
constexpr double k_min_event_ms = 0.1;
constexpr double k_max_event_ms = 10'000.0;

double weight_of(std::uint32_t earlier_values) {
  return std::max(1.0 / (1.0 + earlier_values), k_min_weight);
}

double bound_deviation(double value, double average) {
  return std::clamp(value, average / k_max_deviation, average * k_max_deviation);
}

double most_events(run_length const& run) {
  double const known = static_cast<double>(run.max_events);
  return run.max_events == 0 ? k_max_events : std::min(known, k_max_events);
}

milliseconds to_time(model_pace const& pace, double events) {
  return milliseconds(static_cast<std::int64_t>(std::max(events, 0.0) * pace.event_ms));
}

}  // namespace

bool model_pace::is_reliable() const { return runs >= k_reliable_runs && has_event_time; }

double expected_events(model_pace const& pace, run_length const& run) {
  double const events = run.length_hint == 0
                            ? pace.events_per_run
                            : static_cast<double>(run.length_hint) * pace.events_per_hint;
  return std::clamp(events, 1.0, most_events(run));
}

milliseconds expected_time_left(model_pace const& pace, run_length const& run) {
  double const events = static_cast<double>(run.events);
  double const expected = expected_events(pace, run);
  if (events < expected) return to_time(pace, expected - events);
  return to_time(pace, std::min(events, most_events(run) - events));
}

milliseconds least_time_left(model_pace const& pace, run_length const& run) {
  return to_time(pace, expected_events(pace, run) - static_cast<double>(run.events));
}

void event_timer::note_events(std::size_t count, bool paused, time_point now) {
  was_paused_ = was_paused_ || paused;
  last_at_ = now;
  if (first_at_) {
    after_first_ += count;
  } else {
    first_at_ = now;
  }
}

std::optional<double> event_timer::event_ms() const {
  if (was_paused_ || after_first_ < k_min_measured_events) return std::nullopt;
  std::chrono::duration<double, std::milli> const spent = last_at_ - *first_at_;
  return spent.count() / static_cast<double>(after_first_);
}

model_pace* run_estimate::find_or_add(std::string const& model) {
  auto const found = models_.find(model);
  if (found != models_.end()) return &found->second;
  return models_.size() < k_max_models ? &models_[model] : nullptr;
}

void run_estimate::note_completed(std::string const& model, std::uint64_t length_hint,
                                  std::uint64_t events) {
  model_pace* const pace = find_or_add(model);
  if (pace == nullptr || events == 0) return;
  double const weight = weight_of(pace->runs++);
  double const length = static_cast<double>(events);
  pace->events_per_run +=
      weight * (bound_deviation(length, pace->events_per_run) - pace->events_per_run);
  if (length_hint == 0) return;
  double const ratio = length / static_cast<double>(length_hint);
  double const bounded = bound_deviation(ratio, pace->events_per_hint);
  pace->events_per_hint *= std::pow(bounded / pace->events_per_hint, weight);
}

void run_estimate::note_event_time(std::string const& model, double event_ms) {
  model_pace* const pace = find_or_add(model);
  if (pace == nullptr) return;
  double const bounded = std::clamp(event_ms, k_min_event_ms, k_max_event_ms);
  if (!pace->has_event_time) {
    pace->event_ms = bounded;
    pace->has_event_time = true;
    return;
  }
  double const weight = weight_of(pace->runs);
  pace->event_ms += weight * (bound_deviation(bounded, pace->event_ms) - pace->event_ms);
}

double run_estimate::hinted_events(std::string const& model, std::uint64_t length_hint) const {
  auto const found = models_.find(model);
  if (found == models_.end() || found->second.runs < k_reliable_runs) return 0;
  return std::min(static_cast<double>(length_hint) * found->second.events_per_hint, k_max_events);
}

model_pace run_estimate::pace_of(std::string const& model) const {
  auto const found = models_.find(model);
  model_pace pace = found == models_.end() ? model_pace() : found->second;
  if (pace.has_event_time) return pace;
  double sum = 0;
  std::size_t count = 0;
  for (auto const& [name, other] : models_) {
    if (!other.has_event_time) continue;
    sum += other.event_ms;
    ++count;
  }
  if (count > 0) pace.event_ms = sum / static_cast<double>(count);
  return pace;
}

}  // namespace frostline::scheduling
