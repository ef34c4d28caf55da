/// @file Jitter that keeps many nodes from acting at the same moment.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace frostline {

/// Returns a random duration in [upper_bound / 2, upper_bound].
template <class Generator>
milliseconds with_jitter(milliseconds upper_bound, Generator& random) {
  std::uniform_int_distribution<std::int64_t> distribution(upper_bound.count() / 2,
                                                           upper_bound.count());
  return milliseconds(distribution(random));
}

/// As above, with a process-wide generator. Not thread-safe.
inline milliseconds with_jitter(milliseconds upper_bound) {
  static std::mt19937_64 random(std::random_device{}());
  return with_jitter(upper_bound, random);
}

}  // namespace frostline
