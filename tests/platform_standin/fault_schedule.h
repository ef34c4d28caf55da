/// @file The sequence of faults that a soak draws from its seed. No I/O; reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace frostline::testing {

/// Two faults that are active at the same time, as indices, and the number that selects the node or
/// server that they affect.
struct fault_pair {
  std::size_t first = 0;
  std::size_t second = 0;
  std::size_t target = 0;
  bool operator==(fault_pair const&) const = default;
};

class fault_schedule {
 public:
  /// @param fault_count number of faults to choose from.
  fault_schedule(std::uint64_t seed, std::size_t fault_count);

  fault_pair next();

 private:
  /// Not shared with any other part of a soak, so that a seed always gives the same sequence.
  std::mt19937_64 random_;
  std::size_t fault_count_;
};

}  // namespace frostline::testing
