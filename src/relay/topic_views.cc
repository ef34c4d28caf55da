#include "relay/topic_views.h"

#include <algorithm>

namespace frostline::relay {

topic_views::topic_views(trait_reader servers_traits) {
  views_[index_of(topic::SERVERS)] = record_view(std::move(servers_traits));
  confirmed_at_.fill(time_point::min());
}

void topic_views::take_snapshot(topic one, kv::range_answer const& all,
                                record_selection const& held) {
  record_view& view = views_[index_of(one)];
  bool const first = !view.is_loaded();
  bool const reselected = !(view.held() == held);
  tell_dropped(one, view.drop_except(held));
  auto const news = view.take_snapshot(all, held);
  if (!view.is_loaded()) return;
  if (first || reselected) {
    ++changes_;
    if (listeners_[index_of(one)].snapshot) listeners_[index_of(one)].snapshot(view.list());
    if (changed_) changed_();
    return;
  }
  tell(one, news);
}

void topic_views::take_event(topic one, kv::watch_event const& event) {
  auto change = views_[index_of(one)].take_event(event);
  if (change) tell(one, {std::move(*change)});
}

void topic_views::tell(topic one, std::vector<kv::watch_event> const& news) {
  changes_ += news.size();
  for (kv::watch_event const& event : news) {
    if (listeners_[index_of(one)].event) listeners_[index_of(one)].event(event);
  }
  if (!news.empty() && changed_) changed_();
}

void topic_views::narrow(topic one, record_selection const& held) {
  tell_dropped(one, views_[index_of(one)].narrow(held));
}

void topic_views::tell_dropped(topic one, std::vector<std::string> const& keys) {
  auto const& listener = listeners_[index_of(one)];
  if (!keys.empty() && listener.dropped) listener.dropped(keys);
}

void topic_views::confirm(topic one, time_point when) {
  confirmed_at_[index_of(one)] = std::max(confirmed_at_[index_of(one)], when);
}

bool topic_views::all_loaded() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](record_view const& one) { return one.is_loaded(); });
}

}  // namespace frostline::relay
