/// @file The record of the store that names a zone's relay: claimed by compare-and-swap, and handed
/// on by a relay that stops.
#pragma once

#include <optional>

#include "base/asio.h"
#include "kv/record_store.h"
#include "relay/zone_relays.h"

namespace frostline::relay {

class zone_record {
 public:
  /// @param relays what is known of relays; learns what a change shows. Outlives this.
  /// @param self this node as its zone's relay.
  zone_record(kv::record_store& store, zone_relays& relays, zone_relay self)
      : store_(store), relays_(relays), self_(std::move(self)) {}

  /// Names this node in the place of whoever the record at `replaced` names; 0: nobody.
  /// @return whether the store has answered, so that `relays` may have changed.
  awaitable<bool> claim(kv::revision replaced);
  /// Names another node of the zone, or nobody. @return whether `relays` has changed.
  awaitable<bool> hand_on(std::optional<zone_relay> next);

 private:
  kv::record_store& store_;
  zone_relays& relays_;
  zone_relay self_;
};

}  // namespace frostline::relay
