/// @file Token bucket that limits the rate of bytes sent to other nodes. Reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace frostline::jobs {

/// Refills continuously and allows bursts of one second's worth of bytes.
class read_budget {
 public:
  explicit read_budget(std::size_t bytes_per_second)
      : rate_(static_cast<double>(bytes_per_second)), available_(rate_) {}

  /// Takes `bytes` from the bucket. @return false, taking nothing, if fewer bytes are
  /// available and the bucket is not full.
  bool take(std::size_t bytes, time_point now) {
    refill(now);
    // A reply larger than the whole bucket is allowed when the bucket is full; the balance then
    // becomes negative.
    if (available_<rate_&& static_cast<double>(bytes)> available_) return false;
    available_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  void refill(time_point now) {
    if (now <= refilled_at_) return;
    std::chrono::duration<double> const passed = now - refilled_at_;
    refilled_at_ = now;
    available_ = std::min(rate_, available_ + rate_ * passed.count());
  }

  double rate_;
  double available_;
  time_point refilled_at_{};
};

}  // namespace frostline::jobs
