/// @file References that the rollout service takes from the other components of a node.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "bulk/client.h"
#include "config/store.h"
#include "config/sync.h"
#include "engines/controller.h"
#include "http/client.h"
#include "kv/client.h"
#include "machines/machine_list.h"
#include "membership/table.h"
#include "ownership/ownership_manager.h"
#include "routing/leaving_tracker.h"

namespace frostline::rollout {

/// Components of the node; they must outlive the rollout service.
struct node_dependencies {
  asio::io_context& context;
  kv::client& kv_client;
  http::client& transport;
  config::store const& config;
  config::sync& config_sync;
  membership::table const& members;
  ownership::ownership_manager const& owner;
  machines::machine_list const& machines;
  routing::leaving_tracker const& leaving;
  bulk::client& bulk;
  std::string zone;
  std::string placement;
  std::string address;
  /// Returns the controller of an engine that this node owns, or null.
  std::function<std::shared_ptr<engines::controller>(std::string const&)> local_controller;
  /// Returns true if this node may be partitioned from the cluster and must start no new work.
  std::function<bool()> is_cut_off;
};

}  // namespace frostline::rollout
