/// @file The record feed's handling of servers' records: which of them a node holds, and where it
/// gets them.
#include <algorithm>

#include "base/log.h"
#include "relay/feed_times.h"
#include "relay/record_feed.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
/// How long owners are not polled after one did not answer authoritatively.
constexpr milliseconds k_owner_backoff{1500};
constexpr milliseconds k_owner_poll_interval{100};

}  // namespace

std::optional<record_selection> record_feed::select_servers() const {
  if (!options_.wanted_servers) return record_selection();
  auto const groups = options_.wanted_servers();
  if (!groups) return std::nullopt;
  group_subsets const& current = views_.view(topic::SERVERS).selection().subsets();
  group_subsets subsets;
  for (std::string const& group : *groups) {
    auto const known = current.find(group);
    subsets[group] = known == current.end() ? k_unknown_subset : known->second;
    // Other nodes may request any subset from a relay.
    if (role_ == feed_role::relay) subsets[group] = k_whole_group;
  }
  return record_selection(options_.node, std::move(subsets));
}

record_selection record_feed::select_from_store(topic topic_id, kv::range_answer const& all) const {
  auto const selected = select_servers();
  if (topic_id != topic::SERVERS || owner_ || !selected || selected->is_everything()) return {};
  if (role_ == feed_role::relay) return *selected;
  std::map<std::string, std::size_t> sizes;
  for (kv::key_value const& entry : all.entries) {
    auto const traits = options_.servers_traits(entry);
    if (traits) ++sizes[traits->group];
  }
  group_subsets subsets = selected->subsets();
  for (auto& [group, divisor] : subsets) divisor = choose_subset(divisor, sizes[group]);
  return record_selection(options_.node, std::move(subsets));
}

bool record_feed::tolerates_server_doubt(poll_result const& result, time_point now) {
  if (!result.only_servers_not_authoritative) return false;
  if (!servers_in_doubt_since_) servers_in_doubt_since_ = now;
  return now < *servers_in_doubt_since_ + k_servers_timeout;
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
    if (role_ == feed_role::direct && !server_list_is_long_) {
      co_await check_server_list_length();
      continue;
    }
    if (now < servers_needed_from()) {
      co_await role_changed_.wait_until(servers_needed_from());
      continue;
    }
    reload_servers_if_needed();
    // After a restart of all nodes the owner record may be outdated: read the store in parallel.
    if (!views_.view(topic::SERVERS).is_loaded()) source_.follow(topic::SERVERS, true);
    if (owner && now >= avoided_until) {
      if (co_await poll_owner(*owner)) continue;
      avoided_until = boot_clock::now() + k_owner_backoff;
      continue;
    }
    source_.follow(topic::SERVERS, true);
    co_await role_changed_.wait_until(now + (owner ? k_owner_backoff : k_owner_poll_interval));
  }
}

void record_feed::reload_servers_if_needed() {
  record_view const& known = views_.view(topic::SERVERS);
  auto const selected = select_servers();
  bool const lacks = known.is_loaded() && selected && !known.selection().covers(*selected);
  if (!lacks || !source_.follows(topic::SERVERS)) {
    reloading_for_.reset();
    return;
  }
  if (reloading_for_ == selected) return;
  reloading_for_ = selected;
  log_line(log_level::info, k_part, "Reading servers again: this node needs more of them.",
           {{"zone", options_.zone}, {"role", to_text(role_)}});
  source_.follow(topic::SERVERS, false);
  source_.follow(topic::SERVERS, true);
}

awaitable<void> record_feed::check_server_list_length() {
  server_list_is_long_ = false;
  if (views_.view(topic::SERVERS).is_loaded()) co_return;
  auto const many = co_await store_.exceeds_one_page(options_.prefixes[index_of(topic::SERVERS)]);
  if (many) {
    server_list_is_long_ = many.value();
    co_return;
  }
  log_line(log_level::info, k_part, "Store did not report whether it has many servers.",
           {{"zone", options_.zone}, {"cause", many.error().message()}});
}

time_point record_feed::servers_needed_from() const {
  group_subsets const& current = views_.view(topic::SERVERS).selection().subsets();
  bool const holds_subsets = std::any_of(current.begin(), current.end(), [](auto const& entry) {
    return entry.second > k_whole_group;
  });
  bool const many = holds_subsets || server_list_is_long_.value_or(false);
  if (role_ != feed_role::direct || !many) return time_point::min();
  return std::max(served_at_, started_at_) + k_servers_timeout + servers_jitter_;
}

awaitable<bool> record_feed::poll_owner(endpoint owner) {
  poll_request request = make_request();
  request.topics = {topic::SERVERS};
  request.accept_servers = [this] { return !owner_; };
  request.wait = k_poll_wait;
  request.answer_margin = k_answer_margin;
  ++counters_.polls_sent;
  auto const result = co_await poll_peer(transport_, owner, std::move(request), views_);
  bool const authoritative = result.outcome == poll_outcome::authoritative;
  if (authoritative) {
    owner_answered_at_ = boot_clock::now();
    // Answers lack the servers' load, so a node that became owner meanwhile follows the store.
    if (!owner_) source_.follow(topic::SERVERS, false);
    auto const selected = select_servers();
    if (!owner_ && role_ == feed_role::relay && selected) {
      views_.narrow(topic::SERVERS, *selected);
    }
  } else {
    log_line(log_level::info, k_part, "Owner is not a source of servers; following the store.",
             {{"owner", owner.to_string()}, {"cause", result.cause}});
  }
  co_return authoritative;
}

}  // namespace frostline::relay
