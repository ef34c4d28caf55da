/// @file Writes the store record that names a zone's relay. Nodes claim it by compare-and-swap; a
/// relay that stops hands it over.
#pragma once

#include <optional>

#include "base/asio.h"
#include "kv/record_store.h"
#include "relay/zone_relays.h"

namespace frostline::relay {

class relay_registration {
 public:
  /// @param relays updated with the results of writes. Must outlive this object.
  /// @param self record content that names this node.
  relay_registration(kv::record_store& store, zone_relays& relays, zone_relay self)
      : store_(store), relays_(relays), self_(std::move(self)) {}

  /// Makes this node the zone's relay.
  /// @param replaced revision that the record must still have; 0 if it must not exist.
  /// @return true if the store answered, in which case `relays` may have changed.
  awaitable<bool> claim(kv::revision replaced);
  /// Names another node of the zone as relay, or deletes the record if `next` is empty.
  /// @return true if `next` was written, which also updates `relays`; a deletion does not.
  awaitable<bool> hand_over(std::optional<zone_relay> next);

 private:
  kv::record_store& store_;
  zone_relays& relays_;
  zone_relay self_;
};

}  // namespace frostline::relay
