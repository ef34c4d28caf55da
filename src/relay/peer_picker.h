/// @file Selects the peer to poll next: the relay of this node's zone, then relays of other zones,
/// then the configured seeds. Peers that failed are skipped for a backoff. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "relay/zone_relays.h"

namespace frostline::relay {

struct peer_picker_options {
  std::string node;
  std::string zone;
  /// This node's own address, which is never selected.
  endpoint self;
  /// Configured addresses of some nodes; any of them may be down.
  std::vector<endpoint> seeds;
  /// How long a peer that did not answer is skipped. Each poll of an unresponsive peer costs a full
  /// timeout.
  milliseconds failure_backoff{1500};
  /// How long a peer that was not authoritative is skipped. Shorter, since such a peer answers at
  /// once.
  milliseconds not_authoritative_backoff{500};
};

class peer_picker {
 public:
  explicit peer_picker(peer_picker_options options) : options_(std::move(options)) {}

  /// All peers in order of preference, including those that failed.
  std::vector<endpoint> candidates(zone_relays const& relays) const;
  /// Returns the preferred peer that is not skipped, or nothing if all are.
  std::optional<endpoint> pick(zone_relays const& relays, time_point now) const;
  /// The peer did not answer.
  void note_failure(endpoint const& peer, time_point now) {
    avoided_until_[peer] = now + options_.failure_backoff;
  }
  /// The peer answered, but its records may be incomplete.
  void note_not_authoritative(endpoint const& peer, time_point now) {
    avoided_until_[peer] = now + options_.not_authoritative_backoff;
  }
  void note_success(endpoint const& peer) { avoided_until_.erase(peer); }

 private:
  peer_picker_options options_;
  std::map<endpoint, time_point> avoided_until_;
};

}  // namespace frostline::relay
