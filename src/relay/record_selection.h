/// @file Selects the records of a topic that a node holds or requests: all of them, or those of
/// some groups. Of each group, a node selects all records or a pseudorandom subset that differs
/// between nodes. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "kv/types.h"

namespace frostline::relay {

/// Properties of a record's value by which it is selected.
struct record_traits {
  /// Selection is per group. The group of a server's record is its service.
  std::string group;
  /// Assigns the record to subsets. The same for all incarnations of a server at one address.
  std::uint64_t placement_hash = 0;
  /// Equal for values whose difference does not matter to other nodes.
  std::uint64_t digest = 0;
};

/// Returns nothing for a malformed record; every selection includes such a record.
using trait_reader = std::function<std::optional<record_traits>(kv::key_value const&)>;

/// Subset of each group as a divisor, which is a power of two: a node holds one in that many
/// records. With k_unknown_subset the answering node chooses the divisor.
using group_subsets = std::map<std::string, std::uint32_t>;

inline constexpr std::uint32_t k_whole_group = 1;
inline constexpr std::uint32_t k_unknown_subset = 0;

class record_selection {
 public:
  /// Selects all records.
  record_selection() = default;
  /// @param node name of the node that holds the subsets; it determines which records they contain.
  record_selection(std::string const& node, group_subsets subsets);

  bool is_everything() const { return everything_; }
  group_subsets const& subsets() const { return subsets_; }
  bool includes(record_traits const& traits) const;
  bool includes(std::optional<record_traits> const& traits) const {
    return !traits || includes(*traits);
  }
  /// Returns true only if this selection includes every record that `wanted` includes. Returns
  /// false for subsets of one group with different divisors, even if one contains the other.
  bool covers(record_selection const& wanted) const;
  bool operator==(record_selection const&) const = default;

 private:
  bool everything_ = true;
  /// Hash of the node's name; 0 if all subsets are whole groups.
  std::uint64_t node_ = 0;
  group_subsets subsets_;
};

/// Returns the divisor for a group: the subset must be large enough to balance calls over it, and
/// bounded however large the group is. Keeps `current` while it is suitable.
/// @param current present divisor, or k_unknown_subset.
/// @param records size of the whole group.
std::uint32_t choose_subset(std::uint32_t current, std::size_t records);

}  // namespace frostline::relay
