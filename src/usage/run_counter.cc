#include "usage/run_counter.h"

#include <algorithm>

namespace frostline::usage {
namespace {

std::uint64_t ago(time_point when, time_point now) {
  auto const past = std::chrono::duration_cast<milliseconds>(now - when).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(past, 0));
}

}  // namespace

run_counter::attempt_id run_counter::begin_attempt(time_point now) {
  open_.emplace(next_attempt_, now);
  return next_attempt_++;
}

void run_counter::end_attempt(attempt_id id, std::string const& tenant, bool began,
                              time_point began_at) {
  open_.erase(id);
  if (!began || tenant.empty()) return;
  ++total_;
  entries_.push_back({next_sequence_++, tenant, 1, began_at});
}

rpc::UsageCallT run_counter::entries_after(std::uint64_t sequence, time_point now,
                                           std::size_t most) const {
  rpc::UsageCallT call;
  time_point complete = open_.empty() ? now : std::min(now, open_.begin()->second);
  for (entry const& one : entries_) {
    if (one.sequence <= sequence) continue;
    if (call.entries.size() == most) {
      // What is left out began no earlier than the attempts around it were sent.
      complete = std::min(complete, one.began_at);
      continue;
    }
    auto counted = std::make_unique<rpc::RunCountT>();
    counted->sequence = one.sequence;
    counted->tenant = one.tenant;
    counted->requests = one.requests;
    counted->ago_ms = ago(one.began_at, now);
    call.entries.push_back(std::move(counted));
  }
  call.complete_ms_ago = ago(complete, now);
  return call;
}

void run_counter::forget_before(time_point when) {
  while (!entries_.empty() && entries_.front().began_at < when) entries_.pop_front();
}

}  // namespace frostline::usage
