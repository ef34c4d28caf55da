/// @file Adaptive timeout of writes to the record store. Reads no clock.
///
/// Writes are idempotent, so a lost answer is best detected by an early retry. The timeout follows
/// the response time, so that a slow store does not receive each write twice.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace frostline::jobs {

class write_timeout_estimator {
 public:
  static constexpr milliseconds k_min_timeout{250};
  static constexpr milliseconds k_max_timeout{1500};

  /// Returns the time to wait for the answer to a write.
  /// @param bytes size of the write.
  /// @param tries number of earlier tries of the same write that had no answer.
  milliseconds timeout_for(std::size_t bytes, std::size_t tries) const;
  /// Records that a write was answered after `spent`.
  void note_answer(milliseconds spent);

 private:
  /// Smoothed response time; 0 before the first answer.
  double answer_ms_ = 0;
};

}  // namespace frostline::jobs
