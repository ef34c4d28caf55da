#include "usage/usage_ledger.h"

#include <algorithm>

namespace frostline::usage {
namespace {

/// A process that has sent nothing for this long is dropped and no longer delays the closing of
/// windows. Above the longest wait and the length of a window, so what it counted is older than any
/// open window.
constexpr milliseconds k_process_timeout{20'000};
/// A new holder drops open windows that are further back than this from the current one.
constexpr std::uint64_t k_max_backlog_windows = 12;
/// Minimum time between the end of a window and its closing. Longer than a call from a healthy node
/// to the holder takes.
constexpr milliseconds k_min_close_delay{400};

rpc::UsageWindowT make_window(std::uint64_t window,
                              std::map<std::string, std::uint64_t> const& counts) {
  rpc::UsageWindowT made;
  made.window = window;
  for (auto const& [tenant, requests] : counts) {
    auto count = std::make_unique<rpc::TenantCountT>();
    count->tenant = tenant;
    count->requests = requests;
    made.counts.push_back(std::move(count));
  }
  return made;
}

wall_time steady_ms(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

std::map<std::string, std::uint64_t> counts_of(rpc::UsageWindowT const& window) {
  std::map<std::string, std::uint64_t> counts;
  for (auto const& count : window.counts) counts[count->tenant] += count->requests;
  return counts;
}

}  // namespace

std::uint64_t usage_ledger::window_of(wall_time when) const {
  return static_cast<std::uint64_t>(std::max<wall_time>(when, 0) / options_.window.count());
}

wall_time usage_ledger::end_of(std::uint64_t window) const {
  return static_cast<wall_time>(window + 1) * options_.window.count();
}

void usage_ledger::restore(rpc::UsageStateT const* state, wall_time own_clock, time_point now) {
  open_.clear();
  unreported_.clear();
  processes_.clear();
  changed_ = true;
  own_offset_ = own_clock - steady_ms(now);
  std::uint64_t const current = window_of(own_clock);
  first_open_ = current;
  if (state == nullptr) return;
  changed_ = false;
  std::uint64_t const oldest =
      current > k_max_backlog_windows ? current - k_max_backlog_windows : 0;
  first_open_ = std::max(state->first_open, oldest);
  for (auto const& stored : state->open) {
    if (stored->window >= first_open_) open_[stored->window] = counts_of(*stored);
  }
  for (auto const& stored : state->unreported) {
    unreported_[stored->window] = make_window(stored->window, counts_of(*stored));
  }
  for (auto const& stored : state->processes) {
    process& known = processes_[stored->incarnation];
    known.node = stored->node;
    known.counted_to = stored->counted_to;
    known.last_heard_at = now;
  }
}

rpc::UsageStateT usage_ledger::state() const {
  rpc::UsageStateT state;
  state.first_open = first_open_;
  for (auto const& [window, counts] : open_) {
    state.open.push_back(std::make_unique<rpc::UsageWindowT>(make_window(window, counts)));
  }
  for (auto const& [window, closed] : unreported_) {
    state.unreported.push_back(
        std::make_unique<rpc::UsageWindowT>(make_window(window, counts_of(closed))));
  }
  for (auto const& [incarnation, known] : processes_) {
    auto item = std::make_unique<rpc::CountedProcessT>();
    item->incarnation = incarnation;
    item->node = known.node;
    item->counted_to = known.counted_to;
    state.processes.push_back(std::move(item));
  }
  return state;
}

std::uint64_t usage_ledger::add_counts(rpc::UsageCallT const& call, time_point now) {
  process& sender = processes_[call.incarnation];
  sender.node = call.node;
  sender.last_heard_at = now;
  sender.left = call.leaving;
  sender.offset = static_cast<wall_time>(call.wall_clock_ms) - steady_ms(now);
  wall_time const true_now = true_time(now);
  for (auto const& entry : call.entries) {
    if (entry->sequence <= sender.counted_to) continue;
    count(*entry, true_now - static_cast<wall_time>(entry->ago_ms));
    sender.counted_to = entry->sequence;
    changed_ = true;
  }
  sender.complete_to = true_now - static_cast<wall_time>(call.complete_ms_ago);
  return sender.counted_to;
}

void usage_ledger::count(rpc::RunCountT const& entry, wall_time began_at) {
  std::uint64_t const window = window_of(began_at);
  if (window < first_open_) {
    late_ += entry.requests;
  } else {
    open_[window][entry.tenant] += entry.requests;
  }
}

wall_time usage_ledger::true_time(time_point now) const {
  std::vector<wall_time> offsets;
  for (auto const& [incarnation, known] : processes_) {
    if (known.offset) offsets.push_back(*known.offset);
  }
  if (offsets.empty()) return steady_ms(now) + own_offset_;
  auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return steady_ms(now) + *middle;
}

std::set<std::string> usage_ledger::incomplete_at(wall_time when) const {
  // Earlier processes of a node have ended; only the one with the latest counts matters.
  std::map<std::string, process const*> newest;
  for (auto const& [incarnation, known] : processes_) {
    process const*& latest = newest[known.node];
    if (latest == nullptr || known.complete_to > latest->complete_to) latest = &known;
  }
  std::set<std::string> missing;
  for (auto const& [node, known] : newest) {
    if (!known->left && known->complete_to < when) missing.insert(node);
  }
  return missing;
}

void usage_ledger::expire_silent_processes(time_point now) {
  std::erase_if(processes_, [&](auto const& entry) {
    return now - entry.second.last_heard_at > k_process_timeout;
  });
}

closed_window usage_ledger::close(std::uint64_t window, wall_time true_now) {
  closed_window closed;
  closed.window = window;
  auto const missing = incomplete_at(end_of(window));
  closed.missing.assign(missing.begin(), missing.end());
  closed.nodes = processes_.size();
  closed.waited = milliseconds(true_now - end_of(window));
  tenant_counts const counts = open_[window];
  for (auto const& [tenant, requests] : counts) closed.requests += requests;
  unreported_[window] = make_window(window, counts);
  open_.erase(window);
  first_open_ = window + 1;
  changed_ = true;
  return closed;
}

std::vector<closed_window> usage_ledger::close_due(time_point now) {
  expire_silent_processes(now);
  wall_time const true_now = true_time(now);
  std::vector<closed_window> closed;
  while (end_of(first_open_) + k_min_close_delay.count() <= true_now) {
    wall_time const end = end_of(first_open_);
    bool const waited = true_now >= end + options_.max_wait.count();
    if (!waited && !incomplete_at(end).empty()) break;
    closed.push_back(close(first_open_, true_now));
  }
  return closed;
}

}  // namespace frostline::usage
