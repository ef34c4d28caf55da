#include "relay/record_view.h"

#include <algorithm>
#include <set>

namespace frostline::relay {

std::vector<kv::watch_event> record_view::take_snapshot(kv::range_answer const& all) {
  std::vector<kv::watch_event> news;
  if (all.store_revision < at_) return news;
  bool const first = !is_loaded();
  std::set<std::string> listed;
  for (kv::key_value const& entry : all.entries) {
    listed.insert(entry.key);
    kv::watch_event event{false, entry};
    if (apply(event)) news.push_back(std::move(event));
  }
  std::vector<std::string> missing;
  for (auto const& [key, known] : records_) {
    if (!listed.contains(key) && known.mod_revision <= all.store_revision) missing.push_back(key);
  }
  for (std::string const& key : missing) {
    kv::watch_event gone;
    gone.deleted = true;
    gone.entry.key = key;
    gone.entry.mod_revision = all.store_revision;
    if (apply(gone)) news.push_back(std::move(gone));
  }
  at_ = all.store_revision;
  if (first) {
    changes_.clear();
    complete_after_ = at_;
  }
  return news;
}

bool record_view::take_event(kv::watch_event const& event) {
  if (event.entry.mod_revision <= at_) return false;
  return apply(event);
}

void record_view::advance(kv::revision at) {
  if (is_loaded()) at_ = std::max(at_, at);
}

bool record_view::apply(kv::watch_event const& event) {
  auto const known = records_.find(event.entry.key);
  if (event.deleted) {
    if (known == records_.end()) return false;
    records_.erase(known);
    remember(event);
    return true;
  }
  if (known == records_.end()) {
    records_.emplace(event.entry.key, event.entry);
    remember(event);
    return true;
  }
  if (event.entry.mod_revision <= known->second.mod_revision) return false;
  bool const told = !alike_ || !alike_(known->second, event.entry);
  known->second = event.entry;
  if (told) remember(event);
  return true;
}

void record_view::remember(kv::watch_event const& event) {
  changes_.push_back(event);
  if (changes_.size() <= most_changes_) return;
  complete_after_ = std::max(complete_after_, changes_.front().entry.mod_revision);
  changes_.pop_front();
}

kv::range_answer record_view::list() const {
  kv::range_answer all;
  all.store_revision = at_;
  for (auto const& [key, entry] : records_) all.entries.push_back(entry);
  return all;
}

record_delta record_view::since(kv::revision after) const {
  record_delta delta;
  delta.at = at_;
  delta.whole = is_loaded() && after < complete_after_;
  if (delta.whole) {
    for (auto const& [key, entry] : records_) delta.changes.push_back({false, entry});
    return delta;
  }
  for (kv::watch_event const& change : changes_) {
    if (change.entry.mod_revision > after) delta.changes.push_back(change);
  }
  return delta;
}

bool record_view::has_news(kv::revision after) const {
  if (!is_loaded()) return false;
  if (after < complete_after_) return true;
  return std::any_of(changes_.begin(), changes_.end(), [&](kv::watch_event const& change) {
    return change.entry.mod_revision > after;
  });
}

}  // namespace frostline::relay
