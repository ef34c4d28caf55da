#include "relay/record_feed.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/jitter.h"
#include "base/log.h"
#include "relay/feed_times.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
/// poll_request::answer_margin for a peer that does not serve this node yet. Such a peer answers at
/// once; this covers other zones and a processor that is stopped for a tenth of a second.
constexpr milliseconds k_first_answer_margin{300};
/// poll_request::answer_margin until all topics are loaded: the first answers contain all records,
/// and a relay may send them to all nodes of its zone at once.
constexpr milliseconds k_loading_answer_margin{1000};
/// Pause after a change, so that following changes are received together.
constexpr milliseconds k_batch_pause{40};
/// Pause after k_polls_before_backoff consecutive failed or non-authoritative polls.
constexpr milliseconds k_poll_backoff{300};
constexpr std::uint32_t k_polls_before_backoff = 3;
/// A node that no relay has answered for this long, plus jitter, follows the store. Covers a silent
/// relay (950 ms) and another one that does not answer.
constexpr milliseconds k_relay_timeout{1300};
constexpr milliseconds k_relay_timeout_jitter{300};
/// If relays answer but none is authoritative for this long, the store is probably down. The node
/// then probes the store, and follows it once it has answered probes for half of
/// k_store_check_interval.
constexpr milliseconds k_no_authority_timeout{500};
constexpr milliseconds k_store_check_timeout{300};
constexpr milliseconds k_store_check_interval{900};
constexpr milliseconds k_outage_check_interval{2000};
/// Minimum interval between polls of peers that are ahead.
constexpr milliseconds k_peer_ahead_interval{200};
/// How long a starting node that finds no relays waits before it follows the store, if a peer has
/// answered.
constexpr milliseconds k_start_timeout{2500};
/// The same if no peer has answered. Longer than machines that start together start apart.
constexpr milliseconds k_silent_start_timeout{800};
/// Pauses between watches of a topic, so that a burst of changes costs few calls.
constexpr milliseconds k_configuration_pause{100};
constexpr milliseconds k_servers_pause{400};
/// Shorter for an owner, which must learn quickly that an engine has loaded a weight version.
constexpr milliseconds k_owner_servers_pause{60};
constexpr milliseconds k_claim_timeout{600};
/// Replaces claim_options::jitter on seeds. Short, since a zone rarely has more than one seed.
constexpr milliseconds k_seed_claim_jitter{100};
/// A node without an authoritative source for this long after its start trusts its views anyway.
constexpr milliseconds k_trust_timeout{2000};

}  // namespace

std::string_view to_text(feed_role role) {
  switch (role) {
    case feed_role::standby:
      return "standby";
    case feed_role::relay:
      return "relay";
    case feed_role::direct:
      return "direct";
  }
  return "unknown";
}

record_feed::record_feed(asio::io_context& context, kv::record_store& store,
                         http::client& transport, feed_options options,
                         std::function<std::optional<endpoint>()> find_owner)
    : context_(context),
      store_(store),
      transport_(transport),
      options_(std::move(options)),
      find_owner_(std::move(find_owner)),
      views_(options_.servers_traits, options_.prefixes),
      service_(context, views_,
               [this](topic topic_id) { return is_authoritative(topic_id, boot_clock::now()); }),
      source_(context, store, options_.prefixes, make_source_callbacks()),
      registration_(store, relays_, zone_relay{options_.zone, options_.node, options_.self, 0}),
      picker_(peer_picker_options{options_.node, options_.zone, options_.self, options_.seeds}),
      claims_(make_claim_options(), hash_bytes(make_unique_token())),
      role_changed_(context),
      relay_timeout_(k_relay_timeout + with_jitter(k_relay_timeout_jitter)),
      servers_jitter_(static_cast<std::int64_t>(
          hash_bytes(options_.node) % static_cast<std::uint64_t>(k_servers_jitter.count()))) {
  source_.set_pause(topic::CONFIGURATION, k_configuration_pause);
  source_.set_pause(topic::SERVERS, k_servers_pause);
  views_.on_change([this] { service_.notify(); });
  service_.on_peer_ahead(
      [this](endpoint peer) { spawn(context_, poll_peer_ahead(std::move(peer))); });
  service_.on_known_change(
      [this](topic topic_id, kv::revision change) { source_.expect(topic_id, change); });
  kv::prefix_watcher_callbacks on_relays;
  on_relays.snapshot = [this](kv::range_answer const& all) {
    relays_.apply_all(all);
    note_relays();
  };
  on_relays.event = [this](kv::watch_event const& event) {
    relays_.apply(event);
    note_relays();
  };
  views_.listen(topic::RELAYS, std::move(on_relays));
}

claim_options record_feed::make_claim_options() const {
  claim_options claims;
  claims.claim_delay = options_.claim_delay;
  // While the whole system starts, all other nodes poll the seeds, so these should claim first.
  if (is_seed()) claims.jitter = k_seed_claim_jitter;
  return claims;
}

source_callbacks record_feed::make_source_callbacks() {
  source_callbacks callbacks;
  callbacks.snapshot = [this](topic topic_id, kv::range_answer const& all) {
    note_store_answer();
    views_.take_snapshot(topic_id, all, select_from_store(topic_id, all));
  };
  callbacks.event = [this](topic topic_id, kv::watch_event const& event) {
    note_store_answer();
    views_.take_event(topic_id, event);
  };
  callbacks.complete_to = [this](topic topic_id, kv::revision at) { views_.advance(topic_id, at); };
  callbacks.confirmed = [this] {
    for (topic const topic_id : k_topics) {
      if (source_.is_current(topic_id, boot_clock::now())) {
        views_.confirm(topic_id, source_.confirmed_at());
      }
    }
  };
  callbacks.watch_silent = [this] {
    if (on_store_recovered_) on_store_recovered_();
  };
  callbacks.reachability_changed = [this] {
    if (!source_.is_silent()) {
      views_.note_store_recovery(boot_clock::now());
      if (on_store_recovered_) on_store_recovered_();
    }
    service_.notify();
  };
  return callbacks;
}

void record_feed::note_store_answer() {
  // A record may arrive before the next probe shows that the store has recovered.
  if (source_.is_silent()) views_.note_store_recovery(boot_clock::now());
}

void record_feed::listen(topic topic_id, kv::prefix_watcher_callbacks listener) {
  views_.listen(topic_id, std::move(listener));
}

void record_feed::start() {
  started_at_ = boot_clock::now();
  source_.start();
  spawn(context_, peers_loop());
  spawn(context_, servers_loop());
}

void record_feed::set_owner(bool owner) {
  if (owner == owner_) return;
  owner_ = owner;
  source_.set_pause(topic::SERVERS, owner ? k_owner_servers_pause : k_servers_pause);
  // Relays do not pass on the servers' load, so a new owner reads the records from the store.
  if (owner) source_.follow(topic::SERVERS, false);
  follow_topics();
  role_changed_.notify_all();
}

bool record_feed::is_authoritative(topic topic_id, time_point now) const {
  if (leaving_) return false;
  if (source_.is_current(topic_id, now)) return true;
  if (topic_id != topic::SERVERS || role_ == feed_role::standby) return false;
  return now <= owner_answered_at_ + k_poll_wait + k_answer_margin;
}

bool record_feed::is_trusted(time_point now) const {
  if (had_authoritative_answer_) return true;
  bool const direct = std::all_of(k_topics.begin(), k_topics.end(), [&](topic topic_id) {
    return source_.is_current(topic_id, now);
  });
  return direct || now >= started_at_ + k_trust_timeout;
}

milliseconds record_feed::age(time_point now) const {
  time_point oldest = now;
  for (topic const topic_id : k_topics) oldest = std::min(oldest, views_.confirmed_at(topic_id));
  return std::chrono::duration_cast<milliseconds>(now - std::max(oldest, started_at_));
}

std::vector<endpoint> record_feed::relay_addresses(std::size_t max_count) const {
  std::vector<endpoint> addresses;
  for (auto const& [zone, relay] : relays_.all()) {
    if (addresses.size() == max_count) break;
    addresses.push_back(relay.address);
  }
  return addresses;
}

bool record_feed::is_seed() const {
  auto const& seeds = options_.seeds;
  return seeds.empty() || std::find(seeds.begin(), seeds.end(), options_.self) != seeds.end();
}

bool record_feed::is_relay_address(endpoint const& peer) const {
  auto const& all = relays_.all();
  return std::any_of(all.begin(), all.end(),
                     [&](auto const& entry) { return entry.second.address == peer; });
}

void record_feed::note_relays() {
  zone_relay const* const own = relays_.find(options_.zone);
  bool const named = own != nullptr && own->node == options_.node && own->address == options_.self;
  if (named && role_ != feed_role::relay) change_role(feed_role::relay, "named by the record");
  if (!named && role_ == feed_role::relay) change_role(feed_role::standby, "the record changed");
}

void record_feed::change_role(feed_role role, std::string_view cause) {
  log_line(log_level::info, k_part, "Role in passing records on changes.",
           {{"zone", options_.zone},
            {"role", to_text(role)},
            {"before", to_text(role_)},
            {"cause", cause},
            {"record", relays_.revision_of(options_.zone)}});
  if (role == feed_role::direct) ++counters_.store_fallbacks;
  role_ = role;
  follow_topics();
  role_changed_.notify_all();
  service_.notify();
}

void record_feed::follow_topics() {
  bool const follows = role_ != feed_role::standby;
  source_.follow(topic::CONFIGURATION, follows);
  source_.follow(topic::OWNERS, follows);
  source_.follow(topic::RELAYS, follows);
  source_.follow(topic::QUARANTINE, follows);
  if (owner_ || !follows) source_.follow(topic::SERVERS, owner_);
}

awaitable<void> record_feed::peers_loop() {
  // Runs during shutdown as well: requests in progress still need current records.
  while (true) {
    co_await poll_next_peer();
    co_await review_role();
  }
}

awaitable<void> record_feed::poll_next_peer() {
  time_point const now = boot_clock::now();
  auto const peer = picker_.pick(relays_, now);
  // If this node follows the store, only relays can have newer records.
  bool const useful = peer && (role_ == feed_role::standby || is_relay_address(*peer));
  if (!useful) {
    co_await role_changed_.wait_until(now + with_jitter(k_poll_backoff));
    co_return;
  }
  auto const before = counters_.polls_not_authoritative + counters_.polls_failed;
  std::uint64_t const changes = views_.changes();
  note_result(*peer, co_await poll(*peer));
  bool const unsuccessful = counters_.polls_not_authoritative + counters_.polls_failed > before;
  unsuccessful_polls_ = unsuccessful ? unsuccessful_polls_ + 1 : 0;
  if (unsuccessful_polls_ >= k_polls_before_backoff) {
    co_await wait_for(with_jitter(k_poll_backoff));
  } else if (views_.changes() != changes) {
    co_await wait_for(k_batch_pause);
  }
}

awaitable<void> record_feed::poll_peer_ahead(endpoint peer) {
  time_point const now = boot_clock::now();
  if (leaving_ || now < polled_peer_ahead_at_ + k_peer_ahead_interval) co_return;
  polled_peer_ahead_at_ = now;
  poll_request request = make_request();
  request.answer_margin = k_first_answer_margin;
  ++counters_.polls_sent;
  co_await poll_peer(transport_, std::move(peer), std::move(request), views_);
}

poll_request record_feed::make_request() {
  poll_request request;
  request.node = options_.node;
  request.self = options_.self;
  request.zone = options_.zone;
  request.processor_share = options_.processor_share;
  request.uptime = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at_);
  request.leaving = leaving_;
  request.topics.assign(k_topics.begin(), k_topics.end());
  auto selected = select_servers();
  // A peer's answer may contain fewer servers than this node follows at the store, or no load.
  if (source_.follows(topic::SERVERS) || !selected) std::erase(request.topics, topic::SERVERS);
  if (selected) request.servers = std::move(*selected);
  request.accept_servers = [this] { return !source_.follows(topic::SERVERS); };
  request.exact_subsets = role_ == feed_role::relay;
  request.follows_store = role_ != feed_role::standby;
  request.wait_if_servers_not_authoritative = servers_in_doubt_since_.has_value();
  request.on_slow_servers = [this](std::vector<balancing::slow_server> const& servers) {
    counters_.slow_servers_received += servers.size();
    if (on_slow_servers_) on_slow_servers_(servers);
  };
  return request;
}

awaitable<poll_result> record_feed::poll(endpoint const& peer) {
  poll_request request = make_request();
  bool const serves = serving_peer_ == peer;
  bool const loading = !views_.all_loaded();
  // Seeds without records must not wait for each other.
  request.wait = serves || (loading && !is_seed()) ? k_poll_wait : milliseconds(0);
  request.answer_margin = serves ? k_answer_margin : k_first_answer_margin;
  if (loading) request.answer_margin = k_loading_answer_margin;
  ++counters_.polls_sent;
  co_return co_await poll_peer(transport_, peer, std::move(request), views_);
}

void record_feed::note_result(endpoint const& peer, poll_result const& result) {
  time_point const now = boot_clock::now();
  for (topic const topic_id : k_topics) {
    source_.expect(topic_id, result.newest_changes[index_of(topic_id)]);
  }
  bool const is_relay = is_relay_address(peer);
  any_peer_answered_ = any_peer_answered_ || result.outcome != poll_outcome::failed;
  if (result.outcome != poll_outcome::failed && is_relay) relay_answered_at_ = now;
  if (result.outcome == poll_outcome::authoritative) {
    servers_in_doubt_since_.reset();
    had_authoritative_answer_ = true;
    note_served(peer, is_relay);
    return;
  }
  if (tolerates_server_doubt(result, now)) {
    note_served(peer, is_relay);
    return;
  }
  if (result.outcome == poll_outcome::failed) {
    ++counters_.polls_failed;
    picker_.note_failure(peer, now);
  } else {
    ++counters_.polls_not_authoritative;
    picker_.note_not_authoritative(peer, now);
  }
  if (serving_peer_ == peer) {
    log_line(log_level::info, k_part, "Relay stopped serving this node.",
             {{"relay", peer.to_string()}, {"cause", result.cause}});
    serving_peer_.reset();
  }
}

void record_feed::note_served(endpoint const& peer, bool is_relay) {
  picker_.note_success(peer);
  served_at_ = boot_clock::now();
  store_reachable_since_.reset();
  if (serving_peer_ != peer) {
    log_line(log_level::info, k_part, "Relay serves this node.",
             {{"relay", peer.to_string()},
              {"is_relay", is_relay},
              {"sure_of_servers", servers_in_doubt_since_ ? "no" : "yes"}});
  }
  serving_peer_ = peer;
  if (role_ == feed_role::direct && is_relay) {
    change_role(feed_role::standby, "a relay answers");
  }
}

bool record_feed::must_follow_store(time_point now) const {
  if (role_ != feed_role::standby) return false;
  if (serving_peer_) return false;
  if (relays_.all().empty()) {
    milliseconds const start_timeout =
        any_peer_answered_ ? k_start_timeout : k_silent_start_timeout;
    return is_seed() || now >= started_at_ + start_timeout;
  }
  return now >= std::max({relay_answered_at_, started_at_, relays_listed_at_}) + relay_timeout_;
}

awaitable<void> record_feed::check_store() {
  time_point const now = boot_clock::now();
  bool const too_early = now < std::max(served_at_, started_at_) + k_no_authority_timeout;
  if (too_early || now < next_store_check_ || relays_.all().empty()) co_return;
  auto const answers = co_await store_.probe(k_store_check_timeout);
  next_store_check_ = now + with_jitter(answers ? k_store_check_interval : k_outage_check_interval);
  if (!answers) {
    store_reachable_since_.reset();
    co_return;
  }
  if (!store_reachable_since_) store_reachable_since_ = now;
  bool const lasting = now >= *store_reachable_since_ + k_store_check_interval / 2;
  if (!lasting || serving_peer_) co_return;
  change_role(feed_role::direct, "relays are not authoritative, the store answers");
}

relay_health record_feed::assess_relay_health() const {
  zone_relay const* const own = relays_.find(options_.zone);
  relay_health health;
  health.record = relays_.revision_of(options_.zone);
  bool const served = serving_peer_ && is_relay_address(*serving_peer_);
  health.serves = role_ == feed_role::relay ||
                  (own != nullptr && serving_peer_ && *serving_peer_ == own->address);
  health.other_relay_serves = served && !health.serves;
  bool const store_serves =
      role_ == feed_role::direct && source_.is_current(topic::RELAYS, boot_clock::now());
  health.any_source_serves = serving_peer_ || store_serves;
  return health;
}

awaitable<void> record_feed::list_relays() {
  auto const answer = co_await store_.list(options_.prefixes[index_of(topic::RELAYS)]);
  if (!answer || views_.view(topic::RELAYS).is_loaded()) co_return;
  relays_listed_at_ = boot_clock::now();
  log_line(log_level::info, k_part, "Relays read from the store.",
           {{"zone", options_.zone}, {"relays", answer.value().entries.size()}});
  views_.take_snapshot(topic::RELAYS, answer.value());
}

awaitable<void> record_feed::review_role() {
  bool const must_list = !is_seed() && !views_.view(topic::RELAYS).is_loaded();
  if (must_list && must_follow_store(boot_clock::now())) co_await list_relays();
  time_point const now = boot_clock::now();
  if (must_follow_store(now)) {
    change_role(feed_role::direct, "no relay answers");
  } else if (role_ == feed_role::standby && !serving_peer_) {
    co_await check_store();
  }
  if (leaving_ || !views_.view(topic::RELAYS).is_loaded()) co_return;
  relay_health const health = assess_relay_health();
  if (claims_.is_due(health, now)) co_await claim(health.record);
}

awaitable<void> record_feed::claim(kv::revision replaced) {
  claims_.postpone(boot_clock::now());
  // A probe is cheaper than a write and shows whether this node can reach the store.
  auto const reachable = co_await store_.probe(k_claim_timeout);
  bool const overtaken = relays_.revision_of(options_.zone) != replaced;
  if (!reachable || overtaken || leaving_) co_return;
  ++counters_.claims;
  bool const answered = co_await registration_.claim(replaced);
  if (answered) note_relays();
}

awaitable<void> record_feed::leave() {
  leaving_ = true;
  service_.notify();
  if (role_ != feed_role::relay) co_return;
  auto const successor = service_.polled_by().pick(options_.zone, boot_clock::now());
  std::optional<zone_relay> next;
  if (successor) next = zone_relay{options_.zone, successor->node, successor->address, 0};
  bool const named = co_await registration_.hand_over(std::move(next));
  if (named) note_relays();
}

}  // namespace frostline::relay
