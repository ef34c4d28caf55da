#include "relay/change_history.h"

#include <algorithm>

namespace frostline::relay {

void change_history::reset(kv::revision at) {
  events_.clear();
  complete_after_ = at;
  at_ = at;
}

void change_history::add(kv::watch_event const& event) {
  if (event.entry.mod_revision <= complete_after_) return;
  events_.push_back(event);
  advance(event.entry.mod_revision);
  if (events_.size() <= most_events_) return;
  complete_after_ = events_.front().entry.mod_revision;
  events_.pop_front();
}

void change_history::advance(kv::revision at) { at_ = std::max(at_, at); }

std::optional<std::vector<kv::watch_event>> change_history::since(kv::revision after) const {
  if (at_ == 0 || after < complete_after_) return std::nullopt;
  std::vector<kv::watch_event> newer;
  for (kv::watch_event const& event : events_) {
    if (event.entry.mod_revision > after) newer.push_back(event);
  }
  return newer;
}

}  // namespace frostline::relay
