#include "ownership/planner.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"

namespace frostline::ownership {
namespace {

struct candidate {
  std::string node;
  std::string zone;
};

std::vector<candidate> live_candidates(identity const& self, membership::table const& members) {
  std::vector<candidate> candidates;
  bool const self_leaves = members.self().state != membership::member_state::ALIVE;
  if (!self_leaves) candidates.push_back({self.node, self.zone});
  for (auto const& [id, peer] : members.members()) {
    // A member in the machine list that gossip has not mentioned may not be running yet.
    bool const heard = peer.last_heard != time_point::min() || peer.update.incarnation != 0;
    if (peer.is_alive() && heard) candidates.push_back({id, peer.update.zone});
  }
  return candidates;
}

/// Returns the candidate with the highest rendezvous weight, among those in the resource's zone if
/// there are any.
std::string highest_weighted(resource const& wanted, std::vector<candidate> const& candidates) {
  candidate const* best = nullptr;
  bool best_in_zone = false;
  std::uint64_t best_weight = 0;
  for (candidate const& current : candidates) {
    bool const in_zone = current.zone == wanted.zone;
    if (best_in_zone && !in_zone) continue;
    std::uint64_t const weight = rendezvous_weight(wanted.key, current.node);
    bool const better = best == nullptr || (in_zone && !best_in_zone) || weight > best_weight;
    if (!better) continue;
    best = &current;
    best_in_zone = in_zone;
    best_weight = weight;
  }
  return best == nullptr ? std::string() : best->node;
}

/// Returns true if the record is of an earlier process of this node, or its node was declared dead.
bool owner_is_gone(rpc::OwnerRecordT const& record, identity const& self,
                   membership::table const& members) {
  if (record.node == self.node) return record.incarnation < self.incarnation;
  membership::member const* owner = members.find(record.node);
  if (owner == nullptr) return false;  // not a member: wait for the lease to expire
  return owner->update.state == membership::member_state::DEAD;
}

}  // namespace

std::string preferred_owner(resource const& wanted, identity const& self,
                            membership::table const& members) {
  return highest_weighted(wanted, live_candidates(self, members));
}

bool is_self(rpc::OwnerRecordT const& record, identity const& self) {
  return record.node == self.node && record.incarnation == self.incarnation;
}

std::optional<std::string> plan_release(std::vector<resource> const& resources,
                                        std::vector<std::string> const& held, identity const& self,
                                        membership::table const& members) {
  std::vector<candidate> const candidates = live_candidates(self, members);
  std::size_t const nodes = candidates.size();
  std::size_t const share = (resources.size() + nodes) / std::max<std::size_t>(nodes, 1);
  if (held.size() <= share + share / 4 + 1) return std::nullopt;
  std::set<std::string> const mine(held.begin(), held.end());
  for (resource const& wanted : resources) {
    if (!mine.contains(wanted.key)) continue;
    if (highest_weighted(wanted, candidates) != self.node) return wanted.key;
  }
  return std::nullopt;
}

std::vector<acquisition> plan_acquisitions(
    std::vector<resource> const& resources, identity const& self, membership::table const& members,
    std::map<std::string, config::store::owner_entry const*> const& owner_of) {
  std::vector<acquisition> plan;
  std::vector<candidate> const candidates = live_candidates(self, members);
  for (resource const& wanted : resources) {
    auto const found = owner_of.find(wanted.key);
    config::store::owner_entry const* owner = found == owner_of.end() ? nullptr : found->second;
    bool const free = owner == nullptr || owner_is_gone(owner->record, self, members);
    if (!free || highest_weighted(wanted, candidates) != self.node) continue;
    plan.push_back({wanted.key, owner == nullptr ? 0 : owner->revision});
  }
  return plan;
}

}  // namespace frostline::ownership
