/// @file Retry budget: limits retries to a fraction of first attempts, so that retries can't
/// sustain an overload.
#pragma once

#include <algorithm>
#include <cstdint>

namespace frostline::routing {

class retry_budget {
 public:
  /// @param percent retries allowed per hundred first attempts.
  void set_percent(std::uint32_t percent) { percent_ = percent; }

  /// Adds the credit that a first attempt earns.
  void note_first_try() { balance_ = std::min(balance_ + percent_, k_max_balance); }

  /// Deducts the cost of a retry. @return false if the balance is too low.
  bool try_spend() {
    if (balance_ < k_retry_cost) return false;
    balance_ -= k_retry_cost;
    return true;
  }

 private:
  static constexpr std::uint32_t k_retry_cost = 100;
  /// Limits a burst to ten retries.
  static constexpr std::uint32_t k_max_balance = 10 * k_retry_cost;

  std::uint32_t percent_ = 10;
  /// Credit in hundredths of a retry. A new route starts with credit for three retries.
  std::uint32_t balance_ = 3 * k_retry_cost;
};

}  // namespace frostline::routing
