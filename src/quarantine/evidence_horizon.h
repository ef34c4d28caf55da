/// @file How far back the crash evidence of the running nodes reaches. No I/O; reads no clock.
///
/// Evidence survives a restarted node as long as a collector that kept running has it. If all nodes
/// end together, evidence that was not stored is lost, and the next nodes cannot know how many
/// servers a request has crashed already.
#pragma once

#include <optional>

#include "base/time.h"

namespace frostline::quarantine {

class evidence_horizon {
 public:
  /// The system has never run before, so no evidence can be missing.
  void note_first_run(time_point now);
  /// The system ran before this process started.
  void note_previous_run(time_point process_started_at);
  /// Takes over the horizon of a peer, whose evidence of this age this node now shares.
  /// @return true if this moved the horizon back.
  bool extend(milliseconds peer_age, time_point now);
  /// Returns true if crashes that would still count may be unknown. False until a run is noted.
  bool may_lack_evidence(time_point now) const;
  /// Age of the oldest evidence that could be known, at most `k_evidence_retention`; 0 until a run
  /// is noted.
  milliseconds age(time_point now) const;

 private:
  /// Evidence of crashes since this time is complete; nullopt until a run is noted.
  std::optional<time_point> complete_since_;
};

}  // namespace frostline::quarantine
