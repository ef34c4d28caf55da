#include "relay/peer_picker.h"

#include <algorithm>

#include "base/encoding.h"

namespace frostline::relay {

std::vector<endpoint> peer_picker::candidates(zone_relays const& relays) const {
  std::vector<zone_relay const*> others;
  std::vector<endpoint> all;
  for (auto const& [zone, relay] : relays.all()) {
    if (relay.address == options_.self || relay.node == options_.node) continue;
    if (zone == options_.zone) {
      all.push_back(relay.address);
    } else {
      others.push_back(&relay);
    }
  }
  // Rendezvous hashing spreads the nodes of a zone without a relay over the other zones' relays.
  std::sort(others.begin(), others.end(), [&](zone_relay const* left, zone_relay const* right) {
    return rendezvous_weight(options_.node, left->node) >
           rendezvous_weight(options_.node, right->node);
  });
  for (zone_relay const* relay : others) all.push_back(relay->address);
  std::vector<endpoint> seeds = options_.seeds;
  std::sort(seeds.begin(), seeds.end(), [&](endpoint const& left, endpoint const& right) {
    return rendezvous_weight(options_.node, left.to_string()) >
           rendezvous_weight(options_.node, right.to_string());
  });
  for (endpoint const& seed : seeds) {
    bool const listed = std::find(all.begin(), all.end(), seed) != all.end();
    if (!listed && seed != options_.self) all.push_back(seed);
  }
  return all;
}

std::optional<endpoint> peer_picker::pick(zone_relays const& relays, time_point now) const {
  for (endpoint const& peer : candidates(relays)) {
    auto const avoided = avoided_until_.find(peer);
    if (avoided == avoided_until_.end() || avoided->second <= now) return peer;
  }
  return std::nullopt;
}

}  // namespace frostline::relay
