/// @file Circuit breaker for requests to the key-value service. After a failure it blocks requests
/// for a jittered backoff that doubles with each further failure, up to k_max_backoff. The caller
/// passes in the time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/jitter.h"

namespace frostline::kv {

class circuit_breaker {
 public:
  /// @param seed of the jitter; use a different one on each node.
  explicit circuit_breaker(std::uint64_t seed) : random_(seed) {}

  /// Returns true if a request may be sent now. The first request after a backoff is a probe: it
  /// blocks further requests until its outcome is recorded or another backoff has passed.
  bool allow_request(time_point now) {
    if (now < blocked_until_) return false;
    if (backoff_ > milliseconds(0)) blocked_until_ = now + with_jitter(backoff_, random_);
    return true;
  }

  void record_success() {
    backoff_ = milliseconds(0);
    blocked_until_ = time_point::min();
  }

  void record_failure(time_point now) {
    backoff_ = std::clamp(backoff_ * 2, k_initial_backoff, k_max_backoff);
    blocked_until_ = now + with_jitter(backoff_, random_);
  }

  static constexpr milliseconds k_initial_backoff{100};
  static constexpr milliseconds k_max_backoff{5000};

 private:
  std::mt19937_64 random_;
  milliseconds backoff_{0};
  time_point blocked_until_ = time_point::min();
};

}  // namespace frostline::kv
