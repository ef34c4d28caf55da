/// @file Keeps a node from asking a key-value service that does not answer: after a failure the
/// next request is let through only when a jittered, doubling pause has passed. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/jitter.h"

namespace frostline::kv {

class circuit_breaker {
 public:
  explicit circuit_breaker(std::uint64_t seed) : random_(seed) {}

  /// Whether a request may be sent now. The first one after a pause is the probe.
  bool allows(time_point now) {
    if (now < closed_until_) return false;
    if (pause_ > milliseconds(0)) closed_until_ = now + with_jitter(pause_, random_);
    return true;
  }

  void note_answer() {
    pause_ = milliseconds(0);
    closed_until_ = time_point::min();
  }

  void note_failure(time_point now) {
    pause_ = std::clamp(pause_ * 2, k_first_pause, k_longest_pause);
    closed_until_ = now + with_jitter(pause_, random_);
  }

  static constexpr milliseconds k_first_pause{100};
  static constexpr milliseconds k_longest_pause{5000};

 private:
  std::mt19937_64 random_;
  milliseconds pause_{0};
  time_point closed_until_ = time_point::min();
};

}  // namespace frostline::kv
