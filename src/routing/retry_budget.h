/// @file Limits retries to a share of first tries, so that retries can't keep an overload alive.
/// Pure.
#pragma once

#include <algorithm>
#include <cstdint>

namespace frostline::routing {

class retry_budget {
 public:
  /// @param percent retries allowed for each hundred first tries.
  void set_percent(std::uint32_t percent) { percent_ = percent; }

  /// A request was tried for the first time.
  void note_first_try() { balance_ = std::min(balance_ + percent_, k_most); }

  /// @return whether a retry may be made; it is then paid for.
  bool try_spend() {
    if (balance_ < k_price) return false;
    balance_ -= k_price;
    return true;
  }

 private:
  static constexpr std::uint32_t k_price = 100;
  /// At most ten retries are saved up.
  static constexpr std::uint32_t k_most = 10 * k_price;

  std::uint32_t percent_ = 10;
  /// A new route may retry a few times at once.
  std::uint32_t balance_ = 3 * k_price;
};

}  // namespace frostline::routing
