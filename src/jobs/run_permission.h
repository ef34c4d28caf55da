/// @file Whether a pool's owner may begin runs and ask scorers, when its lease may be over. Pure.
///
/// An owner goes on for a while after its lease has lapsed: mostly the store is out, and then no
/// other node can have taken over. Not so if the lease lapsed since the process itself stood still
/// (frozen, paused by its host): others have had the time to take over, and a client to end a job
/// there. Such an owner begins nothing until it has had the time to hear of a successor.
#pragma once

#include "base/time.h"

namespace frostline::jobs {

class run_permission {
 public:
  /// An owner whose lease has lapsed begins runs for that long, unless it hears of another owner:
  /// longer than the outages of the store that deployments plan for (6 to 7 s).
  static constexpr milliseconds k_lapsed_work{8000};
  /// A loop that turns every 100 ms and did not for that long stood still. A lease is renewed every
  /// 400 ms, and free after 1,500 ms: one that a shorter pause has cost is known to be lost.
  static constexpr milliseconds k_standstill{500};
  /// From a process's return to the time at which it has read who owns what: 2 ms measured with an
  /// idle store, which leaves room for a lost connection and one more try.
  static constexpr milliseconds k_hearing_time{500};

  explicit run_permission(time_point now) : turned_at_(now) {}

  /// The owner's loop turns. @param holds_lease whether the lease is valid now.
  void note_turn(time_point now, bool holds_lease);
  /// Whether another node may have taken over while this process stood still.
  bool may_be_succeeded(time_point now, bool holds_lease) const;
  /// Whether runs may begin.
  bool may_begin_runs(time_point now, bool holds_lease) const;

 private:
  time_point turned_at_;
  time_point returned_at_ = time_point::min();
  time_point held_at_ = time_point::min();
};

}  // namespace frostline::jobs
