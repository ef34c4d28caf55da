/// @file Decides when a node claims the relay record of its zone: once the relay has been failing
/// for a timeout, plus jitter, with weaker nodes delayed further. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "base/time.h"
#include "kv/types.h"

namespace frostline::relay {

struct claim_options {
  /// A relay that has failed for this long is replaced. Longer than a process restart (about a
  /// second), so that restarting all nodes does not change the relays.
  milliseconds relay_timeout{1500};
  /// Maximum random delay. Spreads the claims of nodes that see the same failure, so that most of
  /// them learn of the first claim before making their own.
  milliseconds jitter{1200};
  /// Additional delay of a node with a small processor share.
  milliseconds claim_delay{0};
  /// Additional delay before replacing a relay while no relay of another zone serves this node
  /// either, since this node itself may be partitioned.
  milliseconds isolation_timeout{3000};
  /// Time from an attempt to claim the record to the next attempt, if the record is unchanged and
  /// the relay still fails. A random delay of up to `jitter` is added.
  milliseconds retry_backoff{2000};
};

/// A node's current view of its zone's relay.
struct relay_health {
  /// Revision of the zone's relay record; 0 if there is none.
  kv::revision record = 0;
  /// The relay served this node's last poll, or is this node.
  bool serves = false;
  /// The relay of another zone serves this node.
  bool other_relay_serves = false;
  /// Any peer, or the store itself, serves this node. If none does, the store is probably down and
  /// replacing the relay would not help.
  bool any_source_serves = false;
};

class claim_timer {
 public:
  claim_timer(claim_options options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// Returns true if the zone's record at revision `health.record` should be replaced now. The wait
  /// restarts while no source serves this node, so that nodes do not all claim when the store
  /// recovers.
  bool is_due(relay_health const& health, time_point now);
  /// Delays the next claim after an attempt.
  void postpone(time_point now);

 private:
  milliseconds random_jitter();

  claim_options options_;
  std::mt19937_64 random_;
  std::optional<time_point> due_at_;
  /// Revision of the record that `due_at_` was set for.
  kv::revision record_ = 0;
};

}  // namespace frostline::relay
