#include "ownership/planner.h"

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
    // A member that only the machine list names has not been heard: it may not run yet.
    bool const heard = peer.last_heard != time_point::min() || peer.update.incarnation != 0;
    if (peer.is_alive() && heard) candidates.push_back({id, peer.update.zone});
  }
  return candidates;
}

std::string heaviest(std::string const& key, std::vector<candidate> const& candidates) {
  std::string best;
  std::uint64_t best_weight = 0;
  for (candidate const& one : candidates) {
    std::uint64_t const weight = rendezvous_weight(key, one.node);
    if (!best.empty() && weight <= best_weight) continue;
    best = one.node;
    best_weight = weight;
  }
  return best;
}

/// Whether the process that wrote the record is known to be gone.
bool owner_is_gone(rpc::OwnerRecordT const& record, identity const& self,
                   membership::table const& members) {
  if (record.node == self.node) return record.incarnation < self.incarnation;
  membership::member const* owner = members.find(record.node);
  if (owner == nullptr) return false;  // its lease decides
  return owner->update.state == membership::member_state::DEAD;
}

}  // namespace

std::string preferred_owner(resource const& wanted, identity const& self,
                            membership::table const& members) {
  std::vector<candidate> const all = live_candidates(self, members);
  std::vector<candidate> in_zone;
  for (candidate const& one : all) {
    if (one.zone == wanted.zone) in_zone.push_back(one);
  }
  return heaviest(wanted.key, in_zone.empty() ? all : in_zone);
}

bool is_self(rpc::OwnerRecordT const& record, identity const& self) {
  return record.node == self.node && record.incarnation == self.incarnation;
}

std::vector<acquisition> plan_acquisitions(
    std::vector<resource> const& resources, identity const& self, membership::table const& members,
    std::map<std::string, config::store::owner_entry const*> const& owner_of) {
  std::vector<acquisition> plan;
  for (resource const& wanted : resources) {
    auto const found = owner_of.find(wanted.key);
    config::store::owner_entry const* owner = found == owner_of.end() ? nullptr : found->second;
    bool const free = owner == nullptr || owner_is_gone(owner->record, self, members);
    if (!free || preferred_owner(wanted, self, members) != self.node) continue;
    plan.push_back({wanted.key, owner == nullptr ? 0 : owner->revision});
  }
  return plan;
}

}  // namespace frostline::ownership
