/// @file How many bytes of results an owner hands to other nodes before it asks them to read the
/// stored records themselves. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace frostline::jobs {

/// Bytes a second, with a burst of one second's worth.
class read_budget {
 public:
  explicit read_budget(std::size_t bytes_per_second)
      : rate_(static_cast<double>(bytes_per_second)), left_(rate_) {}

  /// Takes `bytes`. @return false if the budget is used up; nothing is taken then.
  bool take(std::size_t bytes, time_point now) {
    refill(now);
    // A reply larger than the whole budget goes when the budget is full.
    if (left_<rate_&& static_cast<double>(bytes)> left_) return false;
    left_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  void refill(time_point now) {
    if (now <= refilled_at_) return;
    std::chrono::duration<double> const passed = now - refilled_at_;
    refilled_at_ = now;
    left_ = std::min(rate_, left_ + rate_ * passed.count());
  }

  double rate_;
  double left_;
  time_point refilled_at_{};
};

}  // namespace frostline::jobs
