#include "relay/record_view.h"

#include <algorithm>
#include <set>

namespace frostline::relay {
namespace {

kv::watch_event make_removal(kv::watch_event const& change) {
  kv::watch_event gone = change;
  gone.deleted = true;
  gone.entry.value.clear();
  return gone;
}

}  // namespace

std::vector<kv::watch_event> record_view::take_snapshot(kv::range_answer const& all,
                                                        record_selection const& selection) {
  std::vector<kv::watch_event> applied;
  bool const reselected = !is_loaded() || !(selection == selection_);
  if (!reselected && all.store_revision < at_) return applied;
  selection_ = selection;
  std::set<std::string> listed;
  for (kv::key_value const& entry : all.entries) {
    listed.insert(entry.key);
    auto change = apply({false, entry});
    if (change) applied.push_back(std::move(*change));
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
    auto change = apply(gone);
    if (change) applied.push_back(std::move(*change));
  }
  at_ = all.store_revision;
  if (reselected) {
    changes_.clear();
    complete_after_ = at_;
  }
  return applied;
}

std::vector<std::string> record_view::narrow(record_selection const& selection) {
  if (selection == selection_ || !selection_.covers(selection)) return {};
  selection_ = selection;
  return drop_unselected(selection);
}

std::vector<std::string> record_view::drop_unselected(record_selection const& selection) {
  std::vector<std::string> dropped;
  if (selection.is_everything()) return dropped;
  for (auto const& [key, entry] : records_) {
    if (!selection.includes(traits_of(key))) dropped.push_back(key);
  }
  for (std::string const& key : dropped) {
    set_traits(key, std::nullopt);
    records_.erase(key);
  }
  return dropped;
}

std::optional<kv::watch_event> record_view::take_event(kv::watch_event const& event) {
  if (event.entry.mod_revision <= at_) return std::nullopt;
  return apply(event);
}

void record_view::advance(kv::revision at) {
  if (is_loaded()) at_ = std::max(at_, at);
}

std::optional<kv::watch_event> record_view::apply(kv::watch_event const& event) {
  auto const known = records_.find(event.entry.key);
  change recorded;
  recorded.event = event;
  recorded.was_known = known != records_.end();
  if (recorded.was_known) {
    if (!event.deleted && event.entry.mod_revision <= known->second.mod_revision) {
      return std::nullopt;
    }
    recorded.before = traits_of(event.entry.key);
  }
  if (!event.deleted && read_traits_) recorded.after = read_traits_(event.entry);
  // A record that leaves the selection counts as removed.
  if (!event.deleted && !selection_.includes(recorded.after)) recorded.event = make_removal(event);
  if (recorded.event.deleted) {
    if (!recorded.was_known) return std::nullopt;
    set_traits(event.entry.key, std::nullopt);
    records_.erase(known);
  } else {
    records_[event.entry.key] = event.entry;
    set_traits(event.entry.key, recorded.after);
  }
  kv::watch_event const applied = recorded.event;
  bool const alike =
      recorded.before && recorded.after && recorded.before->digest == recorded.after->digest;
  if (!alike || applied.deleted) append_change(std::move(recorded));
  return applied;
}

std::optional<record_traits> record_view::traits_of(std::string const& key) const {
  auto const found = traits_.find(key);
  if (found == traits_.end()) return std::nullopt;
  return found->second;
}

void record_view::set_traits(std::string const& key, std::optional<record_traits> traits) {
  auto const known = traits_.find(key);
  if (known != traits_.end()) {
    auto const size = group_sizes_.find(known->second.group);
    if (--size->second == 0) group_sizes_.erase(size);
    traits_.erase(known);
  }
  if (!traits) return;
  ++group_sizes_[traits->group];
  traits_.emplace(key, std::move(*traits));
}

void record_view::append_change(change recorded) {
  kv::revision const newest = changes_.empty() ? 0 : changes_.back().newest;
  recorded.newest = std::max(newest, recorded.event.entry.mod_revision);
  newest_change_ = std::max(newest_change_, recorded.newest);
  changes_.push_back(std::move(recorded));
  if (changes_.size() <= max_changes_) return;
  complete_after_ = std::max(complete_after_, changes_.front().event.entry.mod_revision);
  changes_.pop_front();
}

std::size_t record_view::group_size(std::string const& group) const {
  auto const found = group_sizes_.find(group);
  return found == group_sizes_.end() ? 0 : found->second;
}

kv::range_answer record_view::list() const {
  kv::range_answer all;
  all.store_revision = at_;
  for (auto const& [key, entry] : records_) all.entries.push_back(entry);
  return all;
}

std::optional<kv::watch_event> record_view::event_for(change const& recorded,
                                                      record_selection const& wanted) {
  bool const was_included = recorded.was_known && wanted.includes(recorded.before);
  bool const is_included = !recorded.event.deleted && wanted.includes(recorded.after);
  if (is_included) return recorded.event;
  if (!was_included) return std::nullopt;
  return make_removal(recorded.event);
}

void record_view::list_selected(record_selection const& wanted,
                                std::vector<kv::watch_event>& into) const {
  // Both maps are sorted by key.
  auto traits = traits_.begin();
  for (auto const& [key, entry] : records_) {
    bool const known = traits != traits_.end() && traits->first == key;
    bool const included = known ? wanted.includes(traits->second) : true;
    if (known) ++traits;
    if (included) into.push_back({false, entry});
  }
}

record_delta record_view::since(kv::revision after, record_selection const& wanted) const {
  record_delta delta;
  delta.at = at_;
  delta.is_snapshot = is_loaded() && after < complete_after_;
  if (delta.is_snapshot) {
    list_selected(wanted, delta.changes);
    return delta;
  }
  for (change const& recorded : changes_) {
    if (recorded.event.entry.mod_revision <= after) continue;
    auto event = event_for(recorded, wanted);
    if (event) delta.changes.push_back(std::move(*event));
  }
  return delta;
}

bool record_view::has_changes(kv::revision after, record_selection const& wanted) const {
  if (!is_loaded()) return false;
  if (after < complete_after_) return true;
  for (auto recorded = changes_.rbegin(); recorded != changes_.rend() && recorded->newest > after;
       ++recorded) {
    if (recorded->event.entry.mod_revision > after && event_for(*recorded, wanted)) return true;
  }
  return false;
}

}  // namespace frostline::relay
