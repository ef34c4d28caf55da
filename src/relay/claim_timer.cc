#include "relay/claim_timer.h"

namespace frostline::relay {

milliseconds claim_timer::random_jitter() {
  std::uniform_int_distribution<std::int64_t> pick(0, options_.jitter.count());
  return milliseconds(pick(random_));
}

bool claim_timer::is_due(relay_health const& health, time_point now) {
  if (health.serves || !health.any_source_serves) {
    due_at_.reset();
    return false;
  }
  bool const replaces = health.record != 0;
  if (!due_at_ || health.record != record_) {
    record_ = health.record;
    due_at_ = now + random_jitter() + options_.claim_delay;
    if (replaces) *due_at_ += options_.relay_timeout;
  }
  bool const isolated = replaces && !health.other_relay_serves;
  return now >= *due_at_ + (isolated ? options_.isolation_timeout : milliseconds(0));
}

void claim_timer::postpone(time_point now) {
  due_at_ = now + options_.retry_backoff + random_jitter();
}

}  // namespace frostline::relay
