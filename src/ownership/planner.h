/// @file Decides which shards and engines this node should own. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/store.h"
#include "kv/types.h"
#include "membership/table.h"

namespace frostline::ownership {

/// Something that exactly one node should own at a time.
struct resource {
  /// Key of its owner record.
  std::string key;
  /// Preferred zone of the owner; empty for any.
  std::string zone;
};

/// A planned compare-and-swap on an owner key, by which this node becomes the owner.
struct acquisition {
  std::string key;
  /// Revision that the key must still have; 0 if it must not exist.
  kv::revision expected = 0;
};

/// Identifies this process in owner records.
struct identity {
  std::string node;
  /// Differs for each start of the node, so that a restarted node is a different owner.
  std::uint64_t incarnation = 0;
  std::string zone;
};

/// Returns the node that should own `wanted`, by rendezvous hashing over this node and the live
/// members. Considers only nodes in the resource's zone if there are any.
std::string preferred_owner(resource const& wanted, identity const& self,
                            membership::table const& members);

/// Returns true if this process wrote the owner record.
bool is_self(rpc::OwnerRecordT const& record, identity const& self);

/// Returns the resources that this node should try to acquire now.
/// @param owner_of current owner record by resource key; null if there is none.
std::vector<acquisition> plan_acquisitions(
    std::vector<resource> const& resources, identity const& self, membership::table const& members,
    std::map<std::string, config::store::owner_entry const*> const& owner_of);

/// Returns the key of a resource to release, so that nodes that have joined get their share: one
/// for which another live node is preferred, if this node owns over about 1.25 times its share.
/// @param held keys that this node owns.
/// @return at most one key, so that moves are spread over time.
std::optional<std::string> plan_release(std::vector<resource> const& resources,
                                        std::vector<std::string> const& held, identity const& self,
                                        membership::table const& members);

}  // namespace frostline::ownership
