/// Servers' records: which of them a node holds, and from whom it hears of them.
#include <algorithm>

#include "base/log.h"
#include "relay/feed_times.h"
#include "relay/record_feed.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
/// An owner that failed is not asked for that long.
constexpr milliseconds k_owner_avoid_time{1500};
constexpr milliseconds k_owner_poll{100};

}  // namespace

std::optional<record_selection> record_feed::select_servers() const {
  if (!options_.wanted_servers) return record_selection();
  auto const groups = options_.wanted_servers();
  if (!groups) return std::nullopt;
  group_parts const& held = views_.view(topic::SERVERS).held().parts();
  group_parts parts;
  for (std::string const& group : *groups) {
    auto const known = held.find(group);
    parts[group] = known == held.end() ? k_unknown_part : known->second;
    // Others ask a relay for any part.
    if (role_ == feed_role::relay) parts[group] = k_whole_group;
  }
  return record_selection(options_.node, std::move(parts));
}

record_selection record_feed::select_from_store(topic one, kv::range_answer const& all) const {
  auto const selected = select_servers();
  if (one != topic::SERVERS || owner_ || !selected || selected->is_everything()) return {};
  if (role_ == feed_role::relay) return *selected;
  std::map<std::string, std::size_t> sizes;
  for (kv::key_value const& entry : all.entries) {
    auto const traits = options_.servers_traits(entry);
    if (traits) ++sizes[traits->group];
  }
  group_parts parts = selected->parts();
  for (auto& [group, part] : parts) part = suitable_part(part, sizes[group]);
  return record_selection(options_.node, std::move(parts));
}

bool record_feed::bears_doubt(poll_result const& result, time_point now) {
  if (!result.doubts_servers_only) return false;
  if (!servers_doubted_since_) servers_doubted_since_ = now;
  return now < *servers_doubted_since_ + k_servers_patience;
}

awaitable<void> record_feed::servers_loop() {
  time_point avoided_until = time_point::min();
  while (true) {
    if (owner_ || role_ == feed_role::standby) {
      co_await role_changed_.wait();
      continue;
    }
    auto const owner = find_owner_();
    time_point const now = boot_clock::now();
    if (!select_servers()) {
      co_await role_changed_.wait();
      continue;
    }
    if (role_ == feed_role::direct && !servers_are_many_) {
      co_await look_how_many();
      continue;
    }
    if (now < servers_needed_from()) {
      co_await role_changed_.wait_until(servers_needed_from());
      continue;
    }
    review_servers();
    // The owner may be the one of before a restart of all.
    if (!views_.view(topic::SERVERS).is_loaded()) source_.follow(topic::SERVERS, true);
    if (owner && now >= avoided_until) {
      if (co_await ask_owner(*owner)) continue;
      avoided_until = boot_clock::now() + k_owner_avoid_time;
      continue;
    }
    source_.follow(topic::SERVERS, true);
    co_await role_changed_.wait_until(now + (owner ? k_owner_avoid_time : k_owner_poll));
  }
}

void record_feed::review_servers() {
  record_view const& known = views_.view(topic::SERVERS);
  auto const selected = select_servers();
  bool const lacks = known.is_loaded() && selected && !known.held().covers(*selected);
  if (!lacks || !source_.follows(topic::SERVERS)) {
    read_for_.reset();
    return;
  }
  if (read_for_ == selected) return;
  read_for_ = selected;
  log_line(log_level::info, k_part, "Servers are read anew: this node needs others than before.",
           {{"zone", options_.zone}, {"role", to_text(role_)}});
  source_.follow(topic::SERVERS, false);
  source_.follow(topic::SERVERS, true);
}

awaitable<void> record_feed::look_how_many() {
  servers_are_many_ = false;
  if (views_.view(topic::SERVERS).is_loaded()) co_return;
  auto const many = co_await store_.exceeds_one_page(options_.prefixes[index_of(topic::SERVERS)]);
  if (many) {
    servers_are_many_ = many.value();
    co_return;
  }
  log_line(log_level::info, k_part, "Store does not tell how many servers there are.",
           {{"zone", options_.zone}, {"cause", many.error().message()}});
}

time_point record_feed::servers_needed_from() const {
  group_parts const& held = views_.view(topic::SERVERS).held().parts();
  bool const holds_parts = std::any_of(held.begin(), held.end(),
                                       [](auto const& one) { return one.second > k_whole_group; });
  bool const many = holds_parts || servers_are_many_.value_or(false);
  if (role_ != feed_role::direct || !many) return time_point::min();
  return std::max(served_at_, started_at_) + k_servers_patience + servers_spread_;
}

awaitable<bool> record_feed::ask_owner(endpoint owner) {
  poll_request request = make_request();
  request.topics = {topic::SERVERS};
  request.takes_servers = [this] { return !owner_; };
  request.wait = k_wait;
  request.answer_margin = k_margin;
  ++counters_.polls_sent;
  auto const result = co_await poll_peer(transport_, owner, std::move(request), views_);
  bool const sure = result.outcome == poll_outcome::sure;
  if (sure) {
    owner_told_at_ = boot_clock::now();
    // An owner holds more than it passes on.
    if (!owner_) source_.follow(topic::SERVERS, false);
    auto const selected = select_servers();
    if (!owner_ && role_ == feed_role::relay && selected) {
      views_.narrow(topic::SERVERS, *selected);
    }
  } else {
    log_line(log_level::info, k_part, "Owner does not tell of servers; following the store.",
             {{"owner", owner.to_string()}, {"cause", result.cause}});
  }
  co_return sure;
}

}  // namespace frostline::relay
