#include "quarantine/suspect_table.h"

#include <algorithm>

namespace frostline::quarantine {

suspicion const& suspect_table::note(crash const& one) {
  auto const [place, fresh] = entries_.try_emplace(one.request);
  entry& known = place->second;
  auto& servers = known.known.servers;
  if (std::find(servers.begin(), servers.end(), one.server) != servers.end()) return known.known;
  if (!fresh) ranks_.erase(rank_of(one.request, known));
  if (servers.size() < k_most_servers) servers.push_back(one.server);
  if (one.sent_at >= known.last_in_turn_at) {
    if (++known.known.in_turn == k_crash_threshold) known.known.enough_at = one.ended_at;
    known.last_in_turn_at = one.ended_at;
  }
  known.known.last_at = std::max(known.known.last_at, one.ended_at);
  if (fresh && entries_.size() > most_entries_) {
    // The new entry is not ranked yet, so it is not the one that goes.
    fingerprint const victim = std::get<fingerprint>(*ranks_.begin());
    ranks_.erase(ranks_.begin());
    entries_.erase(victim);
  }
  ranks_.insert(rank_of(one.request, known));
  return known.known;
}

void suspect_table::clear(fingerprint const& request) {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return;
  ranks_.erase(rank_of(request, found->second));
  entries_.erase(found);
}

void suspect_table::expire(time_point before) {
  std::erase_if(entries_, [&](auto const& item) {
    bool const old = item.second.known.last_at <= before;
    if (old) ranks_.erase(rank_of(item.first, item.second));
    return old;
  });
}

bool suspect_table::is_explained_by_others(
    fingerprint const& request, std::function<bool(fingerprint const&)> const& condemned) const {
  suspicion const* const known = find(request);
  if (known == nullptr) return false;
  std::set<std::string_view> open(known->servers.begin(), known->servers.end());
  for (auto const& [other, entry] : entries_) {
    bool const more = entry.known.servers.size() > known->servers.size() || condemned(other);
    if (other == request || !more) continue;
    for (std::string const& server : entry.known.servers) open.erase(server);
  }
  return open.empty();
}

std::vector<fingerprint> suspect_table::heaviest(std::size_t least_servers,
                                                 std::size_t most) const {
  std::vector<fingerprint> found;
  for (auto place = ranks_.rbegin(); place != ranks_.rend() && found.size() < most; ++place) {
    if (std::get<std::size_t>(*place) < least_servers) break;
    found.push_back(std::get<fingerprint>(*place));
  }
  return found;
}

suspicion const* suspect_table::find(fingerprint const& request) const {
  auto const found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second.known;
}

}  // namespace frostline::quarantine
