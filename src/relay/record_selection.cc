#include "relay/record_selection.h"

#include <algorithm>

#include "base/encoding.h"

namespace frostline::relay {
namespace {

/// Bounds on the records of a subset: the minimum when a divisor is chosen, and the range in which
/// a present divisor is kept.
constexpr std::size_t k_min_chosen = 128;
constexpr std::size_t k_min_kept = 96;
constexpr std::size_t k_max_kept = 512;
/// Divisors are powers of this, so that a node's subsets are nested and a change of divisor moves
/// few records.
constexpr std::uint32_t k_divisor_step = 2;

std::uint64_t sampling_hash(std::uint64_t placement_hash, std::uint64_t node) {
  std::string_view const bytes(reinterpret_cast<char const*>(&placement_hash),
                               sizeof placement_hash);
  return hash_bytes(bytes, node);
}

}  // namespace

record_selection::record_selection(std::string const& node, group_subsets subsets)
    : everything_(false), subsets_(std::move(subsets)) {
  bool const whole = std::all_of(subsets_.begin(), subsets_.end(),
                                 [](auto const& entry) { return entry.second == k_whole_group; });
  if (!whole) node_ = hash_bytes(node);
}

bool record_selection::includes(record_traits const& traits) const {
  if (everything_) return true;
  auto const subset = subsets_.find(traits.group);
  if (subset == subsets_.end() || subset->second == k_unknown_subset) return false;
  return subset->second == k_whole_group ||
         sampling_hash(traits.placement_hash, node_) % subset->second == 0;
}

bool record_selection::covers(record_selection const& wanted) const {
  if (everything_) return true;
  if (wanted.everything_) return false;
  return std::all_of(wanted.subsets_.begin(), wanted.subsets_.end(), [&](auto const& entry) {
    auto const own = subsets_.find(entry.first);
    if (own == subsets_.end() || own->second == k_unknown_subset) return false;
    return own->second == k_whole_group || (own->second == entry.second && node_ == wanted.node_);
  });
}

std::uint32_t choose_subset(std::uint32_t current, std::size_t records) {
  bool const known = current != k_unknown_subset;
  bool const enough = current == k_whole_group || (known && records / current >= k_min_kept);
  if (known && enough && records / current <= k_max_kept) return current;
  std::uint32_t divisor = k_whole_group;
  while (records / (divisor * k_divisor_step) >= k_min_chosen) divisor *= k_divisor_step;
  return divisor;
}

}  // namespace frostline::relay
