/// @file Which node to ask next for the newest records: the relay of the own zone, then those of
/// other zones, then the addresses that the settings name. Nodes that failed are passed over for a
/// while. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "relay/zone_relays.h"

namespace frostline::relay {

struct picker_options {
  std::string node;
  std::string zone;
  /// This node's own address, which is never asked.
  endpoint self;
  /// Addresses that the settings name; any of them may be down.
  std::vector<endpoint> seeds;
  /// For that long a node that did not answer is not asked again: each question to it costs the
  /// time in which a silent node is noticed.
  milliseconds failure_pause{1500};
  /// For that long a node that was not sure is not asked again: it says so at once.
  milliseconds doubt_pause{500};
};

class peer_picker {
 public:
  explicit peer_picker(picker_options options) : options_(std::move(options)) {}

  /// Everybody that could be asked, the best first, whether they failed or not.
  std::vector<endpoint> candidates(zone_relays const& relays) const;
  /// The best one that has not just failed; nothing if all have.
  std::optional<endpoint> pick(zone_relays const& relays, time_point now) const;
  /// It did not answer.
  void note_failure(endpoint const& peer, time_point now) {
    avoided_until_[peer] = now + options_.failure_pause;
  }
  /// It answered, and may miss changes.
  void note_doubt(endpoint const& peer, time_point now) {
    avoided_until_[peer] = now + options_.doubt_pause;
  }
  void note_success(endpoint const& peer) { avoided_until_.erase(peer); }

 private:
  picker_options options_;
  std::map<endpoint, time_point> avoided_until_;
};

}  // namespace frostline::relay
