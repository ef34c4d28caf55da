/// @file Decides whether a pool's owner may start runs and call scorers without a valid lease.
/// Reads no clock.
///
/// An owner keeps working for a while after its lease has lapsed: the usual cause is an outage of
/// the store, during which no other node can take over. If the process itself was suspended,
/// another node may have taken over and ended jobs, so the owner starts nothing until it has had
/// time to learn of a successor.
#pragma once

#include "base/time.h"

namespace frostline::jobs {

class run_permission {
 public:
  /// How long an owner may start runs after it last held a valid lease, unless its process was
  /// suspended. Longer than the outages of the store that deployments plan for (6 to 7 s).
  static constexpr milliseconds k_lapsed_lease_grace{8000};
  /// The process counts as suspended if the time between two iterations of the owner's loop exceeds
  /// this threshold. Longer than the loop's period, and shorter than the TTL of a lease.
  static constexpr milliseconds k_suspension_threshold{500};
  /// Time after a resumption in which the process starts no runs without a lease: it reads the
  /// current owners from the store, which may take a reconnect and a retry.
  static constexpr milliseconds k_owner_discovery_time{500};

  explicit run_permission(time_point now) : last_iteration_at_(now) {}

  /// Records an iteration of the owner's loop. @param holds_lease true if the lease is valid now.
  void note_iteration(time_point now, bool holds_lease);
  /// Returns true if another node may have taken over while this process was suspended: the lease
  /// is not valid, and the process resumed less than `k_owner_discovery_time` ago.
  bool may_have_successor(time_point now, bool holds_lease) const;
  /// Returns true if new runs may be started.
  bool may_start_runs(time_point now, bool holds_lease) const;

 private:
  time_point last_iteration_at_;
  time_point resumed_at_ = time_point::min();
  time_point lease_held_at_ = time_point::min();
};

}  // namespace frostline::jobs
