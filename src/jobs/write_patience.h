/// @file How long a write to the record store waits for its answer before it is sent again. Pure.
///
/// A write that is repeated unchanged takes effect once, so a lost answer is best found out by
/// asking again soon. A slow store must not be asked again for each answer, though.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace frostline::jobs {

class write_patience {
 public:
  static constexpr milliseconds k_shortest{250};
  static constexpr milliseconds k_longest{1500};

  /// Time to wait for the answer to a write.
  /// @param bytes that it sends.
  /// @param tries of it that had no answer.
  milliseconds wait(std::size_t bytes, std::size_t tries) const;
  /// A write was answered after `spent`.
  void note_answer(milliseconds spent);

 private:
  /// Smoothed time of answers.
  double answer_ms_ = 0;
};

}  // namespace frostline::jobs
