#include "scheduling/memory_plan.h"

#include <algorithm>
#include <limits>

namespace frostline::scheduling {
namespace {

/// Part of the cache that is kept free: events carry many tokens each, so the usage may be ahead of
/// the events received by one event for each run.
constexpr double k_reserve_share = 0.05;

}  // namespace

memory_plan::planned_run memory_plan::make_run(run_id id, run_memory const& memory) {
  planned_run run;
  run.id = id;
  run.memory = memory;
  auto const prompt = static_cast<double>(memory.prompt_tokens);
  auto const hinted = static_cast<double>(memory.hinted_tokens);
  auto const limit = static_cast<double>(memory.output_limit);
  bool const growth_known = memory.hinted_events > 0 && hinted > 0;
  if (growth_known) run.tokens_per_event = hinted / memory.hinted_events;
  double const output = std::min(limit, run.tokens_per_event * static_cast<double>(memory.events));
  double const final_output = std::min(limit, std::max(hinted, output) * k_length_hint_factor);
  run.final = prompt + final_output;
  run.current = growth_known ? prompt + output : run.final;
  run.remaining_events = growth_known ? (final_output - output) / run.tokens_per_event
                                      : std::numeric_limits<double>::infinity();
  return run;
}

void memory_plan::insert(planned_run const& run) {
  auto const ends_later = [](planned_run const& left, planned_run const& right) {
    return left.remaining_events > right.remaining_events;
  };
  runs_.insert(std::upper_bound(runs_.begin(), runs_.end(), run, ends_later), run);
}

void memory_plan::update_totals() {
  // Recomputed from all runs, so that rounding errors do not add up.
  current_total_ = 0;
  final_total_ = 0;
  for (planned_run const& run : runs_) {
    current_total_ += run.current;
    final_total_ += run.final;
  }
}

void memory_plan::add(run_id id, run_memory const& memory) {
  insert(make_run(id, memory));
  update_totals();
}

void memory_plan::progress(run_id id, std::uint64_t events) {
  auto const found = std::find_if(runs_.begin(), runs_.end(),
                                  [&](planned_run const& run) { return run.id == id; });
  if (found == runs_.end() || found->memory.events == events) return;
  run_memory memory = found->memory;
  memory.events = events;
  runs_.erase(found);
  insert(make_run(id, memory));
  update_totals();
}

void memory_plan::remove(run_id id) {
  std::erase_if(runs_, [&](planned_run const& run) { return run.id == id; });
  update_totals();
}

double memory_plan::peak_of(planned_run const* candidate) const {
  // Usage only falls when a run ends, so its largest values are reached just before the ends. From
  // the last end to the first: those still running at an end are the runs visited so far.
  double peak = 0;
  double current = 0;
  double tokens_per_event = 0;
  auto const visit = [&](planned_run const& run) {
    current += run.current;
    tokens_per_event += run.tokens_per_event;
    bool const grows = tokens_per_event > 0;
    peak = std::max(peak, grows ? current + tokens_per_event * run.remaining_events : current);
  };
  for (planned_run const& run : runs_) {
    if (candidate != nullptr && candidate->remaining_events > run.remaining_events) {
      visit(*candidate);
      candidate = nullptr;
    }
    visit(run);
  }
  if (candidate != nullptr) visit(*candidate);
  return peak;
}

bool memory_plan::admits(run_memory const& candidate, std::uint64_t capacity) const {
  if (runs_.empty()) return true;
  double const available = static_cast<double>(capacity) * (1 - k_reserve_share);
  planned_run const run = make_run(0, candidate);
  if (final_total_ + run.final <= available) return true;
  if (current_total_ + run.current > available) return false;
  return peak_of(&run) <= available;
}

}  // namespace frostline::scheduling
