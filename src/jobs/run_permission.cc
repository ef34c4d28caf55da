#include "jobs/run_permission.h"

namespace frostline::jobs {

void run_permission::note_turn(time_point now, bool holds_lease) {
  if (now - turned_at_ > k_standstill) returned_at_ = now;
  turned_at_ = now;
  if (holds_lease) held_at_ = now;
}

bool run_permission::may_be_succeeded(time_point now, bool holds_lease) const {
  if (holds_lease) return false;
  bool const returns_now = now > turned_at_ + k_standstill;
  bool const has_returned = returned_at_ != time_point::min();
  return returns_now || (has_returned && now < returned_at_ + k_hearing_time);
}

bool run_permission::may_begin_runs(time_point now, bool holds_lease) const {
  if (holds_lease) return true;
  bool const has_held = held_at_ != time_point::min();
  bool const lapsed_lately = has_held && now < held_at_ + k_lapsed_work;
  return lapsed_lately && !may_be_succeeded(now, holds_lease);
}

}  // namespace frostline::jobs
