/// @file How long the parts of one turn of an owner's loop took. Pure.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/time.h"

namespace frostline::jobs {

class turn_clock {
 public:
  explicit turn_clock(time_point begin) : begin_(begin), last_(begin) {}

  /// The part that has just ended. @param name outlives this.
  void mark(std::string_view name, time_point now) {
    parts_.push_back({name, now - last_});
    last_ = now;
  }
  milliseconds total() const { return std::chrono::duration_cast<milliseconds>(last_ - begin_); }
  struct part {
    std::string_view name;
    time_point::duration time{};
  };
  std::vector<part> const& parts() const { return parts_; }
  /// The part that took the longest; only after a mark.
  part longest() const {
    part found = parts_.front();
    for (part const& one : parts_) {
      if (one.time > found.time) found = one;
    }
    return found;
  }

 private:
  time_point begin_;
  time_point last_;
  std::vector<part> parts_;
};

}  // namespace frostline::jobs
