/// @file Which nodes ask this one for changes: those that could take its place as their zone's
/// relay when it stops. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"

namespace frostline::relay {

/// What a node says of itself when it asks.
struct asking_node {
  std::string node;
  std::string zone;
  /// Where other nodes reach it.
  endpoint address;
  /// Share of a core that it may use.
  double processor_share = 0;
  /// For how long its process has run.
  milliseconds uptime{0};
  /// It stops itself.
  bool leaving = false;
};

class asking_nodes {
 public:
  void note(asking_node one, time_point now);
  /// The node of this zone that should relay next: the strongest; among equal ones the one that was
  /// started last, since restarts in turn have passed it already. Nothing if no node asked lately.
  std::optional<asking_node> pick(std::string const& zone, time_point now) const;

 private:
  struct heard_node {
    asking_node what;
    time_point heard_at{};
  };

  /// By name.
  std::map<std::string, heard_node> nodes_;
};

}  // namespace frostline::relay
