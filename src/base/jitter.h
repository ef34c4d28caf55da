/// @file Spreads what many nodes would otherwise do at the same moment.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace frostline {

/// A random time in [half, whole]. Pure: the generator is passed in.
template <class Generator>
milliseconds with_jitter(milliseconds whole, Generator& random) {
  std::uniform_int_distribution<std::int64_t> pick(whole.count() / 2, whole.count());
  return milliseconds(pick(random));
}

/// The same for services, from a generator of the process.
inline milliseconds with_jitter(milliseconds whole) {
  static std::mt19937_64 random(std::random_device{}());
  return with_jitter(whole, random);
}

}  // namespace frostline
