#include "quarantine/suspect_table.h"

#include <algorithm>

namespace frostline::quarantine {

crash_history const& suspect_table::note(crash const& event) {
  auto const [position, inserted] = entries_.try_emplace(event.request);
  entry& current = position->second;
  auto& servers = current.history.servers;
  if (std::find(servers.begin(), servers.end(), event.server) != servers.end())
    return current.history;
  if (!inserted) ranks_.erase(rank_of(event.request, current));
  if (servers.size() < k_max_servers) servers.push_back(event.server);
  if (event.sent_at >= current.last_sequential_at) {
    if (++current.history.sequential_crashes == k_crash_threshold)
      current.history.threshold_reached_at = event.ended_at;
    current.last_sequential_at = event.ended_at;
  }
  current.history.last_crash_at = std::max(current.history.last_crash_at, event.ended_at);
  if (inserted && entries_.size() > max_entries_) {
    // The new entry is not ranked yet, so it can't be evicted here.
    fingerprint const victim = std::get<fingerprint>(*ranks_.begin());
    ranks_.erase(ranks_.begin());
    entries_.erase(victim);
  }
  ranks_.insert(rank_of(event.request, current));
  return current.history;
}

void suspect_table::clear(fingerprint const& request) {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return;
  ranks_.erase(rank_of(request, found->second));
  entries_.erase(found);
}

void suspect_table::expire(time_point before) {
  std::erase_if(entries_, [&](auto const& item) {
    bool const old = item.second.history.last_crash_at <= before;
    if (old) ranks_.erase(rank_of(item.first, item.second));
    return old;
  });
}

bool suspect_table::is_explained_by_others(
    fingerprint const& request,
    std::function<bool(fingerprint const&)> const& is_known_poison) const {
  crash_history const* const known = find(request);
  if (known == nullptr) return false;
  std::set<std::string_view> open(known->servers.begin(), known->servers.end());
  for (auto const& [other, entry] : entries_) {
    bool const more =
        entry.history.servers.size() > known->servers.size() || is_known_poison(other);
    if (other == request || !more) continue;
    for (std::string const& server : entry.history.servers) open.erase(server);
  }
  return open.empty();
}

std::vector<fingerprint> suspect_table::most_suspected(std::size_t min_servers,
                                                       std::size_t max_count) const {
  std::vector<fingerprint> found;
  for (auto position = ranks_.rbegin(); position != ranks_.rend() && found.size() < max_count;
       ++position) {
    if (std::get<std::size_t>(*position) < min_servers) break;
    found.push_back(std::get<fingerprint>(*position));
  }
  return found;
}

crash_history const* suspect_table::find(fingerprint const& request) const {
  auto const found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second.history;
}

}  // namespace frostline::quarantine
