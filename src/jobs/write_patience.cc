#include "jobs/write_patience.h"

#include <algorithm>

namespace frostline::jobs {
namespace {

/// Answers that take this many times as long as usual count as lost.
constexpr double k_usual_factor = 5.0;
constexpr double k_smoothing = 0.3;
/// Slowest link that a large write must fit through, in bytes a millisecond.
constexpr std::size_t k_link_bytes = 4096;
/// Tries that wait no longer than the first: several answers in a row may be lost.
constexpr std::size_t k_equal_tries = 5;
constexpr std::size_t k_most_doublings = 4;

}  // namespace

milliseconds write_patience::wait(std::size_t bytes, std::size_t tries) const {
  auto const usual = milliseconds(static_cast<std::int64_t>(answer_ms_ * k_usual_factor));
  auto const sending = milliseconds(bytes / k_link_bytes);
  milliseconds const first = std::max(k_shortest, usual) + sending;
  std::size_t const later = tries < k_equal_tries ? 0 : tries + 1 - k_equal_tries;
  milliseconds const next = first * (1 << std::min(later, k_most_doublings));
  return std::min(next, k_longest);
}

void write_patience::note_answer(milliseconds spent) {
  auto const sample = static_cast<double>(spent.count());
  // A store that turns slow is believed at once, one that turns fast by and by.
  answer_ms_ = sample > answer_ms_ ? sample : answer_ms_ + k_smoothing * (sample - answer_ms_);
}

}  // namespace frostline::jobs
