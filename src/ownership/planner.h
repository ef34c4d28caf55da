/// @file Decides which shards and engines this node should own. Pure.
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
  /// Zone in which an owner is preferred; empty for any.
  std::string zone;
};

/// A wish to become the owner: a compare-and-swap on the owner key.
struct acquisition {
  std::string key;
  /// Revision that the key must still have; 0 if it must be absent.
  kv::revision expected = 0;
};

/// Who this node is, for owner records.
struct identity {
  std::string node;
  /// Start of this process; a restarted node is another owner.
  std::uint64_t incarnation = 0;
  std::string zone;
};

/// The node that should own `resource`, among this one and the live members: in its zone if
/// there are any, by rendezvous hashing.
std::string preferred_owner(resource const& wanted, identity const& self,
                            membership::table const& members);

/// Whether an owner record is this very process's.
bool is_self(rpc::OwnerRecordT const& record, identity const& self);

/// What this node should try to acquire now.
/// @param owner_of current record of a key, or null.
std::vector<acquisition> plan_acquisitions(
    std::vector<resource> const& resources, identity const& self, membership::table const& members,
    std::map<std::string, config::store::owner_entry const*> const& owner_of);

/// What this node should give up now, so that ownership spreads over nodes that have joined: a
/// resource that another live node is preferred for, while this one holds more than its share.
/// @param held keys that this node owns.
/// @return at most one key, so that moves are spread over time.
std::optional<std::string> plan_release(std::vector<resource> const& resources,
                                        std::vector<std::string> const& held, identity const& self,
                                        membership::table const& members);

}  // namespace frostline::ownership
