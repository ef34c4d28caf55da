/// @file Answers polls: sends other nodes the records that they lack from this node's views.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "balancing/pace_allowance.h"
#include "balancing/slow_server.h"
#include "base/asio.h"
#include "base/endpoint.h"
#include "relay/polling_nodes.h"
#include "relay/topic_views.h"
#include "rpc/dispatcher.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {

/// Returns the slow servers that a node knows, by its own measurements and by those that it
/// received, with their ages at the given time.
using slow_servers_source = std::function<std::vector<balancing::slow_server>(time_point)>;

class poll_service {
 public:
  /// Upper bound on the wait that a call may request.
  static constexpr milliseconds k_max_wait{2000};

  /// @param is_authoritative returns true if, as far as this node knows, its records of a topic are
  /// complete and current.
  poll_service(asio::io_context& context, topic_views const& views,
               std::function<bool(topic)> is_authoritative)
      : views_(views), is_authoritative_(std::move(is_authoritative)), changed_(context) {}

  /// Answers immediately if there are changes, or if this node is not authoritative and the call
  /// does not prefer waiting; otherwise waits for a change, at most as long as the call allows and
  /// k_max_wait. Also waits while neither node has loaded a topic, since a starting seed is polled
  /// by all others.
  awaitable<rpc::PollReplyT> answer(rpc::PollCallT call);
  /// Called with the address of a polling node that is ahead of this node on a topic for which this
  /// node is not authoritative.
  void on_peer_ahead(std::function<void(endpoint)> listener) {
    on_peer_ahead_ = std::move(listener);
  }
  /// Called with the newest change of a topic that a polling node has read from the store. This
  /// node may have missed it.
  void on_known_change(std::function<void(topic, kv::revision)> listener) {
    on_known_change_ = std::move(listener);
  }
  /// Sets the source of the slow servers that replies hold. Without one, replies hold none. They
  /// never end the wait of a poll.
  void set_slow_servers_source(slow_servers_source source) {
    slow_servers_source_ = std::move(source);
  }
  /// Must be called when a view changes or this node gains or loses authority for a topic.
  void notify() { changed_.notify_all(); }
  void add_methods(rpc::dispatcher& methods);
  std::uint64_t answered() const { return answered_; }
  /// Snapshots of a topic that were sent, and the records in them.
  std::uint64_t snapshot_answers() const { return snapshot_answers_; }
  std::uint64_t snapshot_records() const { return snapshot_records_; }
  /// Entries about slow servers that were sent.
  std::uint64_t slow_servers_sent() const { return slow_servers_sent_; }
  polling_nodes const& polled_by() const { return polling_nodes_; }

 private:
  void note_polling_node(rpc::PollCallT const& call);
  void note_peer_ahead(rpc::PollCallT const& call) const;
  void note_known_changes(rpc::PollCallT const& call) const;
  /// What a poll requests of one topic, with the subsets adjusted to this node's view.
  struct topic_query {
    topic topic_id{};
    record_selection wanted;
    /// Revision up to which the polling node holds the wanted records; 0 requests a snapshot.
    kv::revision after = 0;
    /// This node holds all wanted records.
    bool covered = false;
    /// The polling node prefers waiting to an immediate non-authoritative answer.
    bool wait_if_not_authoritative = false;
  };

  topic_query parse_position(rpc::TopicPositionT const& position, std::string const& node) const;
  bool can_wait(topic_query const& query) const;
  bool can_wait(rpc::PollCallT const& call) const;
  rpc::TopicChangesT encode_changes(topic_query const& query);
  /// Returns what a reply to `node` tells about slow servers; null if nothing.
  std::unique_ptr<rpc::SlowServersT> encode_slow_servers(std::string const& node);

  topic_views const& views_;
  std::function<bool(topic)> is_authoritative_;
  async_condition changed_;
  std::function<void(endpoint)> on_peer_ahead_;
  std::function<void(topic, kv::revision)> on_known_change_;
  std::uint64_t answered_ = 0;
  std::uint64_t snapshot_answers_ = 0;
  std::uint64_t snapshot_records_ = 0;
  polling_nodes polling_nodes_;
  slow_servers_source slow_servers_source_;
  balancing::pace_allowance slow_servers_allowance_;
  std::uint64_t slow_servers_sent_ = 0;
};

}  // namespace frostline::relay
