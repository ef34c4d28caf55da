#include "relay/claim_timer.h"

namespace frostline::relay {

milliseconds claim_timer::random_part() {
  std::uniform_int_distribution<std::int64_t> pick(0, options_.spread.count());
  return milliseconds(pick(random_));
}

bool claim_timer::is_due(relay_health const& health, time_point now) {
  if (health.serves || !health.anybody_serves) {
    due_.reset();
    return false;
  }
  bool const replaces = health.record != 0;
  if (!due_ || health.record != record_) {
    record_ = health.record;
    due_ = now + random_part() + options_.claim_delay;
    if (replaces) *due_ += options_.patience;
  }
  bool const isolated = replaces && !health.others_serve;
  return now >= *due_ + (isolated ? options_.isolation_patience : milliseconds(0));
}

void claim_timer::postpone(time_point now) { due_ = now + options_.retry_pause + random_part(); }

}  // namespace frostline::relay
