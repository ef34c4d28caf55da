/// @file Which records of a topic a node holds or asks for: all, or those of some groups, of each
/// group all or an even part that differs from node to node. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "kv/types.h"

namespace frostline::relay {

/// What a record's value says of whom it concerns.
struct record_traits {
  /// Records of one group are selected alike: a server's service.
  std::string group;
  /// Spreads a group's records over the nodes; one value for all lives at one address.
  std::uint64_t placement_hash = 0;
  /// Equal for values that other nodes can treat alike.
  std::uint64_t digest = 0;
};

/// @return nothing for a record that can't be read; such a record concerns everybody.
using trait_reader = std::function<std::optional<record_traits>(kv::key_value const&)>;

/// By group: a node holds one record in that many, a power of two. k_unknown_part: the node that
/// answers chooses.
using group_parts = std::map<std::string, std::uint32_t>;

inline constexpr std::uint32_t k_whole_group = 1;
inline constexpr std::uint32_t k_unknown_part = 0;

class record_selection {
 public:
  /// All records.
  record_selection() = default;
  /// @param node whose part it is: each node has another one.
  record_selection(std::string const& node, group_parts parts);

  bool is_everything() const { return everything_; }
  group_parts const& parts() const { return parts_; }
  bool includes(record_traits const& traits) const;
  bool includes(std::optional<record_traits> const& traits) const {
    return !traits || includes(*traits);
  }
  /// Whether all that `wanted` includes is included here.
  bool covers(record_selection const& wanted) const;
  bool operator==(record_selection const&) const = default;

 private:
  bool everything_ = true;
  /// 0 where all parts are whole groups.
  std::uint64_t node_ = 0;
  group_parts parts_;
};

/// The part of a group that a node holds: enough records to spread its calls over, however large
/// the group is. A part that is still suitable stays.
/// @param current k_unknown_part: none yet.
/// @param records of the whole group.
std::uint32_t suitable_part(std::uint32_t current, std::size_t records);

}  // namespace frostline::relay
