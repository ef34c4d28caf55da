/// @file Which requests a gateway takes during its planned stop. Performs no I/O and reads no
/// clock.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace frostline::gateway {

/// Until a planned stop begins, all requests are admitted.
class stop_admission {
 public:
  /// @param refuse_from time from which requests that may outlast the stop are refused. Before it,
  /// clients still connect to this node, and most requests end long before their deadline.
  /// @param ends_at time at which the last answer has to be ready.
  void begin_stop(time_point refuse_from, time_point ends_at) {
    refuse_from_ = refuse_from;
    ends_at_ = ends_at;
  }

  /// @param deadline time by which the request gets its final answer, whatever its server does.
  bool admits(time_point now, time_point deadline) const {
    return now < refuse_from_ || deadline <= ends_at_;
  }

  /// Returns the deadline of a request that is admitted: no later than the end of the stop, so that
  /// it is answered and not cut.
  time_point limit(time_point deadline) const { return std::min(deadline, ends_at_); }

 private:
  time_point refuse_from_ = time_point::max();
  time_point ends_at_ = time_point::max();
};

}  // namespace frostline::gateway
