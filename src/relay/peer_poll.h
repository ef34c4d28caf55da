/// @file A poll that asks another node for records newer than this node's own copies.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "balancing/slow_server.h"
#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "relay/topic_views.h"

namespace frostline::relay {

/// authoritative: as far as the peer knows, its records were complete and current.
/// not_authoritative: the peer's records were applied, but may be incomplete. failed: no reply.
enum class poll_outcome { authoritative, not_authoritative, failed };

struct poll_result {
  poll_outcome outcome = poll_outcome::failed;
  /// The peer is authoritative for all topics except the servers.
  bool only_servers_not_authoritative = false;
  /// Why the poll failed, or which topics the peer was not authoritative for; otherwise empty.
  std::string cause;
  /// Newest revision among the changes received for each topic; 0 if there were none.
  std::array<kv::revision, k_topics.size()> newest_changes{};
};

/// Called with the slow servers in a reply, if it holds valid ones.
using slow_servers_listener = std::function<void(std::vector<balancing::slow_server> const&)>;

struct poll_request {
  std::string node;
  /// This node's address for calls from other nodes.
  endpoint self;
  std::string zone;
  /// Processor cores that this node may use.
  double processor_share = 0;
  milliseconds uptime{0};
  /// This node is shutting down.
  bool leaving = false;
  std::vector<topic> topics;
  /// Servers' records to request; all by default.
  record_selection servers;
  /// The peer must keep the subsets of `servers`; otherwise it adjusts them to the groups' sizes.
  bool exact_subsets = false;
  /// Called when the reply arrives. Returns false if servers' records in it must be dropped because
  /// this node has meanwhile started to follow them, more completely, at the store.
  std::function<bool()> accept_servers;
  /// Wait for changes even if the peer is not authoritative for the servers.
  bool wait_if_servers_not_authoritative = false;
  /// This node reads records from the store, so the peer should expect the changes that it knows.
  bool follows_store = false;
  /// May be empty.
  slow_servers_listener on_slow_servers;
  /// How long the peer may wait for a change before it replies.
  milliseconds wait{0};
  /// Time allowed beyond `wait` for the reply to arrive.
  milliseconds answer_margin{0};
};

/// Polls `peer` and applies the reply to `views`.
awaitable<poll_result> poll_peer(http::client& transport, endpoint peer, poll_request request,
                                 topic_views& views);

}  // namespace frostline::relay
