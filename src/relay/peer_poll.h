/// @file One question to another node for what its views hold beyond this node's own.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "relay/topic_views.h"

namespace frostline::relay {

/// sure: nothing was missing at the other node, as far as it could tell. not_sure: what it told is
/// used, but there may be more. failed: no answer.
enum class poll_outcome { sure, not_sure, failed };

struct poll_result {
  poll_outcome outcome = poll_outcome::failed;
  /// Not sure of the servers, and of all else it is.
  bool doubts_servers_only = false;
  /// Why it failed, or why the other node was not sure.
  std::string cause;
  /// Revision of the newest change that it told, by topic; 0: none.
  std::array<kv::revision, k_topics.size()> newest_changes{};
};

struct poll_request {
  /// Identifier of this node.
  std::string node;
  /// Where other nodes reach it.
  endpoint self;
  std::string zone;
  /// Share of a core that this node may use.
  double processor_share = 0;
  milliseconds uptime{0};
  /// This node stops.
  bool leaving = false;
  std::vector<topic> topics;
  /// Servers' records that are asked for; all by default.
  record_selection servers;
  /// The parts of `servers` stay as they are; else the other node fits them to the groups' sizes.
  bool exact_parts = false;
  /// Asked when the answer is there: whether servers' records are still wanted from others. The
  /// records that this node follows at the store by then are more.
  std::function<bool()> takes_servers;
  /// Wait for changes also at a node that is not sure of its servers.
  bool patient_for_servers = false;
  /// How long the other node may wait for a change.
  milliseconds wait{0};
  /// Beyond that, a node that does not answer counts as failed.
  milliseconds answer_margin{0};
};

/// Asks `peer` and takes over what it tells.
awaitable<poll_result> poll_peer(http::client& transport, endpoint peer, poll_request request,
                                 topic_views& views);

}  // namespace frostline::relay
