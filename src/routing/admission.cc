#include "routing/admission.h"

#include <algorithm>

namespace frostline::routing {
namespace {

constexpr double k_smoothing = 0.1;
constexpr milliseconds k_min_retry_after{50};
constexpr milliseconds k_max_retry_after{5000};

}  // namespace

awaitable<admission_result> admission_gate::enter(time_point deadline) {
  if (in_flight_ < concurrent_ && queued_ == 0) {
    ++in_flight_;
    co_return admission_result::admitted;
  }
  if (queued_ >= queued_limit_) co_return admission_result::queue_full;
  std::uint64_t const ticket = next_ticket_++;
  ++queued_;
  while (true) {
    while (abandoned_.erase(serving_ticket_) > 0) ++serving_ticket_;
    bool const has_capacity = in_flight_ < concurrent_;
    if (has_capacity && ticket == serving_ticket_) break;
    if (boot_clock::now() >= deadline) {
      --queued_;
      abandoned_.insert(ticket);
      freed_.notify_all();
      co_return admission_result::deadline_passed;
    }
    co_await freed_.wait_until(deadline);
  }
  ++serving_ticket_;
  --queued_;
  ++in_flight_;
  // The next request in the queue may be admissible, too.
  freed_.notify_all();
  co_return admission_result::admitted;
}

void admission_gate::leave() {
  --in_flight_;
  time_point const now = boot_clock::now();
  if (last_leave_ != time_point::min()) {
    std::chrono::duration<double, std::milli> const interval = now - last_leave_;
    leave_interval_ms_ += k_smoothing * (interval.count() - leave_interval_ms_);
  }
  last_leave_ = now;
  freed_.notify_all();
}

milliseconds admission_gate::retry_after() const {
  auto const wait = static_cast<std::int64_t>(leave_interval_ms_ * (queued_ + 1));
  return std::clamp(milliseconds(wait), k_min_retry_after, k_max_retry_after);
}

}  // namespace frostline::routing
