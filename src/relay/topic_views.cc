#include "relay/topic_views.h"

#include <algorithm>

namespace frostline::relay {

topic_views::topic_views(trait_reader servers_traits, topic_prefixes prefixes)
    : prefixes_(std::move(prefixes)) {
  views_[index_of(topic::SERVERS)] = record_view(std::move(servers_traits));
  confirmed_at_.fill(time_point::min());
}

void topic_views::take_snapshot(topic topic_id, kv::range_answer const& received,
                                record_selection const& selection) {
  kv::range_answer all = received;
  std::erase_if(all.entries,
                [&](kv::key_value const& entry) { return !belongs_to(topic_id, entry.key); });
  record_view& view = views_[index_of(topic_id)];
  bool const first = !view.is_loaded();
  bool const reselected = !(view.selection() == selection);
  notify_dropped(topic_id, view.drop_unselected(selection));
  auto const events = view.take_snapshot(all, selection);
  if (!view.is_loaded()) return;
  if (first || reselected) {
    ++changes_;
    if (listeners_[index_of(topic_id)].snapshot)
      listeners_[index_of(topic_id)].snapshot(view.list());
    if (changed_) changed_();
    return;
  }
  notify_events(topic_id, events);
}

void topic_views::take_event(topic topic_id, kv::watch_event const& event) {
  if (!belongs_to(topic_id, event.entry.key)) return;
  auto change = views_[index_of(topic_id)].take_event(event);
  if (change) notify_events(topic_id, {std::move(*change)});
}

void topic_views::notify_events(topic topic_id, std::vector<kv::watch_event> const& events) {
  changes_ += events.size();
  for (kv::watch_event const& event : events) {
    if (listeners_[index_of(topic_id)].event) listeners_[index_of(topic_id)].event(event);
  }
  if (!events.empty() && changed_) changed_();
}

void topic_views::narrow(topic topic_id, record_selection const& selection) {
  notify_dropped(topic_id, views_[index_of(topic_id)].narrow(selection));
}

void topic_views::notify_dropped(topic topic_id, std::vector<std::string> const& keys) {
  auto const& listener = listeners_[index_of(topic_id)];
  if (!keys.empty() && listener.dropped) listener.dropped(keys);
}

void topic_views::confirm(topic topic_id, time_point when) {
  confirmed_at_[index_of(topic_id)] = std::max(confirmed_at_[index_of(topic_id)], when);
}

bool topic_views::all_loaded() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](record_view const& view) { return view.is_loaded(); });
}

}  // namespace frostline::relay
