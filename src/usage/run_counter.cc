#include "usage/run_counter.h"

#include <algorithm>

namespace frostline::usage {
namespace {

std::uint64_t milliseconds_since(time_point when, time_point now) {
  auto const past = std::chrono::duration_cast<milliseconds>(now - when).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(past, 0));
}

}  // namespace

run_counter::attempt_id run_counter::begin_attempt(time_point now) {
  in_flight_.emplace(next_attempt_, now);
  return next_attempt_++;
}

void run_counter::end_attempt(attempt_id id, std::string const& tenant, bool began,
                              time_point began_at) {
  in_flight_.erase(id);
  if (!began || tenant.empty()) return;
  ++total_;
  entries_.push_back({next_sequence_++, tenant, 1, began_at});
}

rpc::UsageCallT run_counter::entries_after(std::uint64_t sequence, time_point now,
                                           std::size_t max_entries) const {
  rpc::UsageCallT call;
  time_point complete = in_flight_.empty() ? now : std::min(now, in_flight_.begin()->second);
  for (entry const& item : entries_) {
    if (item.sequence <= sequence) continue;
    if (call.entries.size() == max_entries) {
      // Omitted entries limit the time up to which this call is complete.
      complete = std::min(complete, item.began_at);
      continue;
    }
    auto count = std::make_unique<rpc::RunCountT>();
    count->sequence = item.sequence;
    count->tenant = item.tenant;
    count->requests = item.requests;
    count->ago_ms = milliseconds_since(item.began_at, now);
    call.entries.push_back(std::move(count));
  }
  call.complete_ms_ago = milliseconds_since(complete, now);
  return call;
}

void run_counter::drop_before(time_point when) {
  while (!entries_.empty() && entries_.front().began_at < when) entries_.pop_front();
}

}  // namespace frostline::usage
