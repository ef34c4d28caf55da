/// @file Requests that servers have answered recently, since evidence against a request may arrive
/// from another node after the answer. No I/O; reads no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>

#include "base/time.h"
#include "quarantine/fingerprint.h"

namespace frostline::quarantine {

class recent_answers {
 public:
  /// How long an answer is remembered. Longer than evidence and a record take to reach this node.
  static constexpr milliseconds k_retention{3'000};
  /// Limit of remembered answers; beyond it the oldest is dropped. Some 300 a second of one node,
  /// ten times the largest deployment measured.
  static constexpr std::size_t k_max_entries = 1024;

  void note(fingerprint const& request, time_point now);
  /// Returns true if the request was answered within the retention time before `now`.
  bool has(fingerprint const& request, time_point now) const;
  std::size_t size() const { return latest_.size(); }

 private:
  struct answer {
    fingerprint request;
    time_point at{};
  };

  void pop_oldest();

  std::deque<answer> order_;
  std::map<fingerprint, time_point> latest_;
};

}  // namespace frostline::quarantine
