/// @file Keeps this node's views of the record store's topics current and passes them on. Most
/// nodes ask the relay of their zone; relays follow the store. So calls to the store grow with the
/// zones, not with the nodes.
///
/// A node that no relay answers follows the store itself until one does. Whatever the source, a
/// view never goes back, so sources can change at any time, and an answer of a node that is not
/// sure of its own view is used all the same.
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
#include "relay/store_source.h"
#include "relay/topic_views.h"
#include "relay/zone_record.h"
#include "relay/zone_relays.h"
#include "rpc/dispatcher.h"

namespace frostline::relay {

/// standby: asks relays; relay: its zone's record names it; direct: no relay answers, it follows
/// the store for itself. standby -> relay, direct; direct -> standby, relay; relay -> standby.
enum class feed_role { standby, relay, direct };

std::string_view to_text(feed_role role);

struct feed_options {
  std::string node;
  std::string zone;
  /// Where other nodes reach this one.
  endpoint self;
  /// Addresses of some nodes, of which any may be down.
  std::vector<endpoint> seeds;
  topic_prefixes prefixes;
  /// Whom servers' records concern; null: everybody.
  trait_reader servers_traits;
  /// Groups of servers that this node's calls need, nothing while that is not known. Null: all.
  std::function<std::optional<std::set<std::string>>()> wanted_servers;
  /// Share of a core that this node may use.
  double processor_share = 0;
  /// A weak node claims its zone's record that much later.
  milliseconds claim_delay{0};
};

/// What the feed counts, since the process began.
struct feed_counters {
  std::uint64_t polls_sent = 0;
  std::uint64_t polls_failed = 0;
  std::uint64_t polls_not_sure = 0;
  std::uint64_t claims = 0;
  std::uint64_t turns_to_store = 0;
};

class record_feed {
 public:
  /// @param find_owner where another node that owns a pool can be reached: it alone follows what
  /// servers load.
  record_feed(asio::io_context& context, kv::record_store& store, http::client& transport,
              feed_options options, std::function<std::optional<endpoint>()> find_owner);

  /// Who hears of a topic's changes; to be set before start.
  void listen(topic one, kv::prefix_watcher_callbacks listener);
  /// Runs when the store answers this node again after a silence, or a watch got no answer: watches
  /// that others began before may be dead without showing it. Only nodes that follow a topic at the
  /// store notice.
  void on_store_back(std::function<void()> listener) { store_back_ = std::move(listener); }
  void start();
  /// Registers what other nodes call.
  void add_methods(rpc::dispatcher& methods) { service_.add_methods(methods); }
  /// The owner of a pool follows all servers' records itself, with what they load.
  void set_owner(bool owner);
  /// To be called when the groups of servers that this node's calls need may have changed.
  void note_wanted_servers() { role_changed_.notify_all(); }
  /// This process stood still: what was going on may be dead.
  void resynchronize(std::string_view cause) { source_.resynchronize(cause); }
  /// Answers as not sure from now on. If this node is its zone's relay, the record names the best
  /// of the nodes that ask it from now on, or is freed if there is none. The node itself still
  /// hears of changes.
  awaitable<void> leave();

  /// Whether a source that was sure has told everything, or nobody else is likely to.
  bool is_trusted(time_point now) const;
  /// When the store last answered again after a silence; time_point::min(): it was never silent.
  time_point store_back_at() const { return views_.store_back_at(); }
  feed_role role() const { return role_; }
  /// Relays of some zones, in the order of the zones' names: the same at all nodes that know the
  /// same records.
  std::vector<endpoint> relay_addresses(std::size_t most) const;
  feed_counters const& counters() const { return counters_; }
  poll_service const& answers() const { return service_; }
  record_view const& view(topic one) const { return views_.view(one); }
  /// Whether a node of its zone asks this one and could follow it as relay.
  bool has_successor(time_point now) const {
    return service_.asking().pick(options_.zone, now).has_value();
  }
  /// How long ago the store last answered this node's own watch of a topic; nothing if others tell
  /// it of changes.
  std::optional<milliseconds> watch_age(topic one, time_point now) const {
    return source_.watch_age(one, now);
  }
  /// How long ago the records were last known to be complete, by the oldest topic.
  milliseconds age(time_point now) const;

 private:
  bool is_sure(topic one, time_point now) const;
  source_callbacks make_source_callbacks();
  claim_options make_claim_options() const;
  void note_store_answer();
  void note_relays();
  awaitable<void> peers_loop();
  awaitable<void> ask_next_peer();
  /// Servers' records that this node should hold: a relay whole groups, others parts of them.
  /// Nothing while the groups are not known.
  std::optional<record_selection> select_servers() const;
  /// What this node should hold of what the store lists.
  record_selection select_from_store(topic one, kv::range_answer const& all) const;
  /// Has the servers read anew, once, if this node follows them at the store and holds too few of
  /// them since its role, or what its calls need, has changed.
  void review_servers();
  /// A node that follows the store and knows no servers looks how large their list is first.
  awaitable<void> look_how_many();
  /// When a node that follows the store turns to the owner, or the store, for servers as well. All
  /// of a zone's nodes may have lost their relay at once: where there are many servers, they keep
  /// to what they know until another relay has had the time to follow.
  time_point servers_needed_from() const;
  /// For all topics that other nodes can tell of.
  poll_request make_request() const;
  awaitable<poll_result> ask(endpoint const& peer);
  /// Asks a node that asked this one and knows more.
  awaitable<void> ask_back(endpoint peer);
  void note_result(endpoint const& peer, poll_result const& result);
  /// A node that was sure, of all but its servers perhaps, answered.
  void note_service(endpoint const& peer, bool is_relay);
  /// Whether to put up with an answer that is not sure of the servers: a relay finds another source
  /// for them by itself, and what it would cost if all nodes did the same grows with the fleet.
  bool bears_doubt(poll_result const& result, time_point now);
  /// Keeps the servers' records current on a node that follows the store: through the owner of a
  /// pool, or the store itself.
  awaitable<void> servers_loop();
  awaitable<bool> ask_owner(endpoint owner);

  /// A node that nobody answers reads who the relays are before it follows the store: that costs
  /// little, however many nodes do so at once, and those relays may just have started themselves.
  awaitable<void> look_for_relays();
  /// Turns to the store when no relay answers, and claims the zone's record when its relay fails.
  awaitable<void> review();
  bool must_follow_store(time_point now) const;
  /// Looks whether the store serves this node while relays answer and none is sure.
  awaitable<void> check_store();
  relay_health assess() const;
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
  zone_record record_;
  peer_picker picker_;
  claim_timer claims_;
  async_condition role_changed_;
  std::function<void()> store_back_;
  feed_role role_ = feed_role::standby;
  feed_counters counters_;
  bool owner_ = false;
  /// This node stops: others should not rely on it.
  bool leaving_ = false;
  /// The node that answered last and was sure of its views.
  std::optional<endpoint> serving_peer_;
  /// When an owner last told the servers' records and was sure of them.
  time_point owner_told_at_ = time_point::min();
  time_point started_at_ = time_point::max();
  /// When a relay last answered, sure or not.
  time_point relay_answered_at_ = time_point::min();
  /// When this node read from the store who the relays are.
  time_point relays_listed_at_ = time_point::min();
  /// How long this node waits for a relay before it turns to the store; each node another time.
  milliseconds patience_{0};
  /// How much longer it waits before it reads servers' records itself.
  milliseconds servers_spread_{0};
  std::uint32_t fruitless_polls_ = 0;
  /// Whether any node has ever answered.
  bool answered_once_ = false;
  /// When a node was last sure towards this one.
  time_point served_at_ = time_point::min();
  /// While no node is: since when the store has answered each look, and when the next is due.
  std::optional<time_point> store_answers_since_;
  time_point next_store_check_ = time_point::min();
  time_point asked_back_at_ = time_point::min();
  bool sure_once_ = false;
  /// Since when those who serve this node are not sure of the servers.
  std::optional<time_point> servers_doubted_since_;
  /// What the store's list of servers is being read anew for.
  std::optional<record_selection> read_for_;
  /// Whether the store's list of servers is longer than one answer, once this node has looked.
  std::optional<bool> servers_are_many_;
};

}  // namespace frostline::relay
