#include "relay/record_selection.h"

#include <algorithm>

#include "base/encoding.h"

namespace frostline::relay {
namespace {

/// Records that a part has at least when it is chosen, and at least and at most while it is kept.
constexpr std::size_t k_fewest_chosen = 128;
constexpr std::size_t k_fewest_kept = 96;
constexpr std::size_t k_most_kept = 512;
/// Parts of one node are nested, so that a change from one to the next moves few records.
constexpr std::uint32_t k_step = 2;

std::uint64_t mix(std::uint64_t placement_hash, std::uint64_t node) {
  std::string_view const bytes(reinterpret_cast<char const*>(&placement_hash),
                               sizeof placement_hash);
  return hash_bytes(bytes, node);
}

}  // namespace

record_selection::record_selection(std::string const& node, group_parts parts)
    : everything_(false), parts_(std::move(parts)) {
  bool const whole = std::all_of(parts_.begin(), parts_.end(),
                                 [](auto const& one) { return one.second == k_whole_group; });
  if (!whole) node_ = hash_bytes(node);
}

bool record_selection::includes(record_traits const& traits) const {
  if (everything_) return true;
  auto const part = parts_.find(traits.group);
  if (part == parts_.end() || part->second == k_unknown_part) return false;
  return part->second == k_whole_group || mix(traits.placement_hash, node_) % part->second == 0;
}

bool record_selection::covers(record_selection const& wanted) const {
  if (everything_) return true;
  if (wanted.everything_) return false;
  return std::all_of(wanted.parts_.begin(), wanted.parts_.end(), [&](auto const& one) {
    auto const own = parts_.find(one.first);
    if (own == parts_.end() || own->second == k_unknown_part) return false;
    return own->second == k_whole_group || (own->second == one.second && node_ == wanted.node_);
  });
}

std::uint32_t suitable_part(std::uint32_t current, std::size_t records) {
  bool const known = current != k_unknown_part;
  bool const enough = current == k_whole_group || (known && records / current >= k_fewest_kept);
  if (known && enough && records / current <= k_most_kept) return current;
  std::uint32_t part = k_whole_group;
  while (records / (part * k_step) >= k_fewest_chosen) part *= k_step;
  return part;
}

}  // namespace frostline::relay
