/// @file Keeps this node's views of the record store's topics current and serves them to peers.
/// Relays follow the store; all other nodes poll the relay of their zone, so that the number of
/// store requests grows with the number of zones instead of nodes.
///
/// A node that gets no answer from any relay follows the store itself until a relay answers. A view
/// never replaces a record by an older revision, so the source can change at any time, and even
/// records from a non-authoritative peer are applied.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "kv/record_store.h"
#include "relay/claim_timer.h"
#include "relay/peer_picker.h"
#include "relay/peer_poll.h"
#include "relay/poll_service.h"
#include "relay/relay_registration.h"
#include "relay/store_source.h"
#include "relay/topic_views.h"
#include "relay/zone_relays.h"
#include "rpc/dispatcher.h"

namespace frostline::relay {

/// standby: polls relays. relay: named by the record of its zone, follows the store. direct:
/// follows the store only for itself, since no relay serves it. Transitions: standby -> relay,
/// direct; direct -> standby, relay; relay -> standby.
enum class feed_role { standby, relay, direct };

std::string_view to_text(feed_role role);

struct feed_options {
  std::string node;
  std::string zone;
  /// This node's address for calls from other nodes.
  endpoint self;
  /// Configured addresses of some nodes; any of them may be down.
  std::vector<endpoint> seeds;
  topic_prefixes prefixes;
  /// Reads the traits by which a node selects servers' records. If null, this node selects all.
  trait_reader servers_traits;
  /// Returns the groups of servers' records that this node needs to route its calls, or nothing
  /// while it cannot tell yet. If null, this node holds all groups.
  std::function<std::optional<std::set<std::string>>()> wanted_servers;
  /// Processor cores that this node may use.
  double processor_share = 0;
  /// Additional delay before claiming the zone's record, for nodes with a small processor share.
  milliseconds claim_delay{0};
};

/// Counters since the start of the process.
struct feed_counters {
  std::uint64_t polls_sent = 0;
  std::uint64_t polls_failed = 0;
  std::uint64_t polls_not_authoritative = 0;
  std::uint64_t claims = 0;
  /// Changes to the direct role.
  std::uint64_t store_fallbacks = 0;
  /// Valid entries about slow servers in replies of other nodes.
  std::uint64_t slow_servers_received = 0;
};

class record_feed {
 public:
  /// @param find_owner returns the address of another node that owns a pool, which relays and
  /// direct nodes poll for servers' records; nothing if there is no known owner.
  record_feed(asio::io_context& context, kv::record_store& store, http::client& transport,
              feed_options options, std::function<std::optional<endpoint>()> find_owner);

  /// Sets the listener for changes of a topic. Must be called before start.
  void listen(topic topic_id, kv::prefix_watcher_callbacks listener);
  /// Sets a callback for when the store becomes reachable again or a watch got no answer, since
  /// other watches of this process may then be dead without an error. Called only while this node
  /// follows a topic at the store.
  void on_store_recovered(std::function<void()> listener) {
    on_store_recovered_ = std::move(listener);
  }
  /// Sets the listener for the slow servers that other nodes report, with their ages at the time of
  /// the call. The servers may be unknown to this node. Must be called before start.
  void on_slow_servers(slow_servers_listener listener) { on_slow_servers_ = std::move(listener); }
  /// Sets the source of the slow servers that this node reports to nodes that poll it. Must include
  /// those that the listener received, so that they reach nodes that poll this one.
  void set_slow_servers_source(slow_servers_source source) {
    service_.set_slow_servers_source(std::move(source));
  }
  void start();
  /// Registers the RPC methods for other nodes.
  void add_methods(rpc::dispatcher& methods) { service_.add_methods(methods); }
  /// Sets whether this node owns a pool. An owner follows all servers' records, including their
  /// load, at the store.
  void set_owner(bool owner);
  /// Must be called when the result of `wanted_servers` may have changed.
  void note_wanted_servers() { role_changed_.notify_all(); }
  /// Reads all followed topics again, for example after the process was suspended.
  void resynchronize(std::string_view cause) { source_.resynchronize(cause); }
  /// Prepares for shutdown: answers polls as non-authoritative and, if this node is its zone's
  /// relay, hands the record over to the best polling node, or deletes it if there is none. This
  /// node's own views stay current.
  awaitable<void> leave();

  /// Returns true once the views come from an authoritative source, or the wait for one has timed
  /// out.
  bool is_trusted(time_point now) const;
  /// When the store last became reachable again; time_point::min() if it never was unreachable.
  time_point store_recovered_at() const { return views_.store_recovered_at(); }
  feed_role role() const { return role_; }
  /// Addresses of at most `max_count` relays, ordered by zone name, so that all nodes with the same
  /// records get the same result.
  std::vector<endpoint> relay_addresses(std::size_t max_count) const;
  feed_counters const& counters() const { return counters_; }
  /// The service that answers other nodes' polls.
  poll_service const& answers() const { return service_; }
  record_view const& view(topic topic_id) const { return views_.view(topic_id); }
  /// Returns true if a node of this zone polls this node and could replace it as relay.
  bool has_successor(time_point now) const {
    return service_.polled_by().pick(options_.zone, now).has_value();
  }
  /// Time since the store last answered this node's watch of a topic; nothing if the node does not
  /// watch it.
  std::optional<milliseconds> watch_age(topic topic_id, time_point now) const {
    return source_.watch_age(topic_id, now);
  }
  /// Longest time, over all topics, since the topic was last known to be complete; at most the time
  /// since start.
  milliseconds age(time_point now) const;

 private:
  bool is_authoritative(topic topic_id, time_point now) const;
  source_callbacks make_source_callbacks();
  claim_options make_claim_options() const;
  void note_store_answer();
  void note_relays();
  awaitable<void> peers_loop();
  awaitable<void> poll_next_peer();
  /// Returns the servers' records that this node should hold: a relay holds whole groups, other
  /// nodes subsets of them. Returns nothing while the groups are unknown.
  std::optional<record_selection> select_servers() const;
  /// Returns the selection of a topic that this node should hold, given the store's list `all`.
  record_selection select_from_store(topic topic_id, kv::range_answer const& all) const;
  /// Lists the servers from the store again, once, if this node follows them there and a change of
  /// its role or of its wanted groups requires more records than it holds.
  void reload_servers_if_needed();
  /// Asks the store whether the list of servers exceeds one page.
  awaitable<void> check_server_list_length();
  /// Returns when a node in the relay or direct role starts to read servers' records from the owner
  /// or the store. With many servers, direct nodes wait for a new relay first: all nodes of a zone
  /// may have lost their relay at once, and would otherwise all read the whole list.
  time_point servers_needed_from() const;
  /// Builds a request for all topics that this node accepts from peers.
  poll_request make_request();
  awaitable<poll_result> poll(endpoint const& peer);
  /// Polls a node whose own poll showed that it is ahead of this node.
  awaitable<void> poll_peer_ahead(endpoint peer);
  void note_result(endpoint const& peer, poll_result const& result);
  /// Records that `peer` serves this node.
  void note_served(endpoint const& peer, bool is_relay);
  /// Returns true if the peer's answer is authoritative for all topics except the servers' records,
  /// and this has not yet lasted `k_servers_timeout`. Until then this node leaves it to the relay
  /// to find another source: if every node looked for one, the number of store requests would grow
  /// with the number of nodes.
  bool tolerates_server_doubt(poll_result const& result, time_point now);
  /// Keeps the servers' records of a relay or direct node current by polling the owner of a pool
  /// or, failing that, following the store.
  awaitable<void> servers_loop();
  awaitable<bool> poll_owner(endpoint owner);

  /// Reads the relay records from the store before this node falls back to following it. This is
  /// cheap even if many nodes do so at once, and the relays may only just have started.
  awaitable<void> list_relays();
  /// Switches to the direct role if no relay answers, and claims the zone's record if its relay
  /// fails.
  awaitable<void> review_role();
  bool must_follow_store(time_point now) const;
  /// Probes the store while no relay is authoritative; switches to the direct role if it answers.
  awaitable<void> check_store();
  relay_health assess_relay_health() const;
  awaitable<void> claim(kv::revision replaced);
  void change_role(feed_role role, std::string_view cause);
  void follow_topics();
  bool is_seed() const;
  bool is_relay_address(endpoint const& peer) const;

  asio::io_context& context_;
  kv::record_store& store_;
  http::client& transport_;
  feed_options options_;
  std::function<std::optional<endpoint>()> find_owner_;
  topic_views views_;
  poll_service service_;
  store_source source_;
  zone_relays relays_;
  relay_registration registration_;
  peer_picker picker_;
  claim_timer claims_;
  async_condition role_changed_;
  std::function<void()> on_store_recovered_;
  slow_servers_listener on_slow_servers_;
  feed_role role_ = feed_role::standby;
  feed_counters counters_;
  /// This node owns a pool.
  bool owner_ = false;
  /// This node is shutting down, so peers should not rely on it.
  bool leaving_ = false;
  /// The peer that serves this node: its last answer was acceptable.
  std::optional<endpoint> serving_peer_;
  /// When an owner last answered authoritatively for the servers.
  time_point owner_answered_at_ = time_point::min();
  time_point started_at_ = time_point::max();
  /// When a relay last answered, authoritative or not.
  time_point relay_answered_at_ = time_point::min();
  /// When list_relays last read the relay records from the store.
  time_point relays_listed_at_ = time_point::min();
  /// How long this node waits for a relay before it follows the store; includes jitter.
  milliseconds relay_timeout_{0};
  /// Additional wait of a direct node before it reads servers' records itself.
  milliseconds servers_jitter_{0};
  /// Consecutive polls that failed or were not authoritative.
  std::uint32_t unsuccessful_polls_ = 0;
  bool any_peer_answered_ = false;
  /// When a peer last served this node.
  time_point served_at_ = time_point::min();
  /// While no peer serves this node: since when the store has answered all probes, and when the
  /// next probe is due.
  std::optional<time_point> store_reachable_since_;
  time_point next_store_check_ = time_point::min();
  time_point polled_peer_ahead_at_ = time_point::min();
  bool had_authoritative_answer_ = false;
  /// Since when the peers that serve this node are not authoritative for the servers.
  std::optional<time_point> servers_in_doubt_since_;
  /// Selection for which the list of servers is being read again.
  std::optional<record_selection> reloading_for_;
  /// The store's list of servers exceeds one page; unset until checked.
  std::optional<bool> server_list_is_long_;
};

}  // namespace frostline::relay
