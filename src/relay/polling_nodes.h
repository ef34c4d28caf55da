/// @file Nodes that poll this node for changes. When this node stops, one of them in the same zone
/// can replace it as relay. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"

namespace frostline::relay {

/// How a node describes itself in a poll.
struct polling_node {
  std::string node;
  std::string zone;
  /// Address for calls from other nodes.
  endpoint address;
  /// Processor cores that the node may use.
  double processor_share = 0;
  /// Time since its process started.
  milliseconds uptime{0};
  /// The node is shutting down.
  bool leaving = false;
};

class polling_nodes {
 public:
  void note(polling_node node, time_point now);
  /// Returns the node of `zone` that should become its next relay: the one with the largest
  /// processor share, and the most recently started among equals, since a rolling restart has
  /// already passed it. Returns nothing if no node has polled recently.
  std::optional<polling_node> pick(std::string const& zone, time_point now) const;

 private:
  struct known_node {
    polling_node node;
    time_point heard_at{};
  };

  /// Keyed by node name.
  std::map<std::string, known_node> nodes_;
};

}  // namespace frostline::relay
