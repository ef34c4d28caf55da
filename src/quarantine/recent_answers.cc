#include "quarantine/recent_answers.h"

namespace frostline::quarantine {

void recent_answers::note(fingerprint const& request, time_point now) {
  while (!order_.empty() && order_.front().at <= now - k_retention) pop_oldest();
  if (order_.size() == k_max_entries) pop_oldest();
  order_.push_back({request, now});
  latest_[request] = now;
}

void recent_answers::pop_oldest() {
  answer const first = order_.front();
  order_.pop_front();
  auto const known = latest_.find(first.request);
  // The request may have been answered again since.
  if (known != latest_.end() && known->second == first.at) latest_.erase(known);
}

bool recent_answers::has(fingerprint const& request, time_point now) const {
  auto const known = latest_.find(request);
  return known != latest_.end() && known->second > now - k_retention;
}

}  // namespace frostline::quarantine
