#include "fault_schedule.h"

namespace frostline::testing {
namespace {

constexpr std::size_t k_targets = 1000;

}  // namespace

fault_schedule::fault_schedule(std::uint64_t seed, std::size_t fault_count)
    : random_(seed), fault_count_(fault_count) {}

fault_pair fault_schedule::next() {
  fault_pair pair;
  pair.first = random_() % fault_count_;
  pair.second = random_() % fault_count_;
  pair.target = random_() % k_targets;
  return pair;
}

}  // namespace frostline::testing
