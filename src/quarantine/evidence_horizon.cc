#include "quarantine/evidence_horizon.h"

#include <algorithm>

#include "quarantine/suspect_table.h"

namespace frostline::quarantine {

void evidence_horizon::note_first_run(time_point now) {
  complete_since_ = now - k_evidence_retention;
}

void evidence_horizon::note_previous_run(time_point process_started_at) {
  complete_since_ = process_started_at;
}

bool evidence_horizon::extend(milliseconds peer_age, time_point now) {
  if (!complete_since_ || now - peer_age >= *complete_since_) return false;
  complete_since_ = now - peer_age;
  return true;
}

bool evidence_horizon::may_lack_evidence(time_point now) const {
  return complete_since_ && now < *complete_since_ + k_evidence_retention;
}

milliseconds evidence_horizon::age(time_point now) const {
  if (!complete_since_) return milliseconds(0);
  auto const age = std::chrono::duration_cast<milliseconds>(now - *complete_since_);
  return std::min(age, k_evidence_retention);
}

}  // namespace frostline::quarantine
