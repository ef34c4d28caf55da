#include "jobs/run_permission.h"

namespace frostline::jobs {

void run_permission::note_iteration(time_point now, bool holds_lease) {
  if (now - last_iteration_at_ > k_suspension_threshold) resumed_at_ = now;
  last_iteration_at_ = now;
  if (holds_lease) lease_held_at_ = now;
}

bool run_permission::may_have_successor(time_point now, bool holds_lease) const {
  if (holds_lease) return false;
  bool const resumes_now = now > last_iteration_at_ + k_suspension_threshold;
  bool const has_resumed = resumed_at_ != time_point::min();
  return resumes_now || (has_resumed && now < resumed_at_ + k_owner_discovery_time);
}

bool run_permission::may_start_runs(time_point now, bool holds_lease) const {
  if (holds_lease) return true;
  bool const had_lease = lease_held_at_ != time_point::min();
  bool const lapsed_lately = had_lease && now < lease_held_at_ + k_lapsed_lease_grace;
  return lapsed_lately && !may_have_successor(now, holds_lease);
}

}  // namespace frostline::jobs
