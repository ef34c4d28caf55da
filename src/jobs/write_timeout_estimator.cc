#include "jobs/write_timeout_estimator.h"

#include <algorithm>

namespace frostline::jobs {
namespace {

/// Multiple of the smoothed response time after which an answer counts as lost.
constexpr double k_timeout_factor = 5.0;
constexpr double k_smoothing = 0.3;
/// Lowest supported link speed, in bytes per millisecond.
constexpr std::size_t k_link_bytes = 4096;
/// Number of tries with the same timeout, before the timeout doubles with each further try.
constexpr std::size_t k_attempts_before_backoff = 5;
constexpr std::size_t k_most_doublings = 4;

}  // namespace

milliseconds write_timeout_estimator::timeout_for(std::size_t bytes, std::size_t tries) const {
  auto const usual = milliseconds(static_cast<std::int64_t>(answer_ms_ * k_timeout_factor));
  auto const sending = milliseconds(bytes / k_link_bytes);
  milliseconds const first = std::max(k_min_timeout, usual) + sending;
  std::size_t const later =
      tries < k_attempts_before_backoff ? 0 : tries + 1 - k_attempts_before_backoff;
  milliseconds const next = first * (1 << std::min(later, k_most_doublings));
  return std::min(next, k_max_timeout);
}

void write_timeout_estimator::note_answer(milliseconds spent) {
  auto const sample = static_cast<double>(spent.count());
  // Increases apply at once, decreases gradually.
  answer_ms_ = sample > answer_ms_ ? sample : answer_ms_ + k_smoothing * (sample - answer_ms_);
}

}  // namespace frostline::jobs
