/// @file Measures the stages of one iteration of an event loop. Reads no clock.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/time.h"

namespace frostline::jobs {

class iteration_timer {
 public:
  explicit iteration_timer(time_point begin) : begin_(begin), last_(begin) {}

  /// Ends the current stage. @param name name of the stage; its characters must outlive the
  /// timer.
  void mark(std::string_view name, time_point now) {
    stages_.push_back({name, now - last_});
    last_ = now;
  }
  milliseconds total() const { return std::chrono::duration_cast<milliseconds>(last_ - begin_); }
  struct stage {
    std::string_view name;
    time_point::duration elapsed{};
  };
  std::vector<stage> const& stages() const { return stages_; }
  /// The longest stage. Requires at least one call of mark.
  stage longest() const {
    stage found = stages_.front();
    for (stage const& current : stages_) {
      if (current.elapsed > found.elapsed) found = current;
    }
    return found;
  }

 private:
  time_point begin_;
  time_point last_;
  std::vector<stage> stages_;
};

}  // namespace frostline::jobs
