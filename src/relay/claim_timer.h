/// @file When a node takes the place of its zone's relay: after the relay has failed this node for
/// a while, at a random time, the strongest nodes first. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "base/time.h"
#include "kv/types.h"

namespace frostline::relay {

struct claim_options {
  /// A relay that fails for that long is replaced. More than a process takes to be back (a second),
  /// since a restart of all nodes should not change the relays.
  milliseconds patience{1500};
  /// Random part: nodes of a zone that see the same failure claim this far apart, and hear of the
  /// first claim (two calls, tens of milliseconds) before most of the others come.
  milliseconds spread{1200};
  /// A weak node claims that much later than the strongest.
  milliseconds claim_delay{0};
  /// In addition when no relay at all answers: it may be this node that is cut off.
  milliseconds isolation_patience{3000};
  /// After a claim in vain.
  milliseconds retry_pause{2000};
};

/// What a node knows of its zone's relay at one moment.
struct relay_health {
  /// Revision of the zone's record; 0: there is none.
  kv::revision record = 0;
  /// Whether the relay served this node the last time that it was asked, or is this node.
  bool serves = false;
  /// Whether another zone's relay serves this node.
  bool others_serve = false;
  /// Whether anybody serves this node, the store itself among them. While nobody does, it is mostly
  /// the store that is out, and no relay is to blame.
  bool anybody_serves = false;
};

class claim_timer {
 public:
  claim_timer(claim_options options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// @return whether the zone's record should be claimed now, at the revision in `health`. The wait
  /// begins anew when nobody serves: nodes must not claim all at once when the store is back.
  bool is_due(relay_health const& health, time_point now);
  /// A claim was tried in vain, or would have been.
  void postpone(time_point now);

 private:
  milliseconds random_part();

  claim_options options_;
  std::mt19937_64 random_;
  std::optional<time_point> due_;
  /// The record that `due_` was set for.
  kv::revision record_ = 0;
};

}  // namespace frostline::relay
