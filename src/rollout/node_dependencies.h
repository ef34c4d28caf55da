/// @file What the rollout services of one node need from its other parts.
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
#include "ownership/keeper.h"
#include "routing/leaving_tracker.h"

namespace frostline::rollout {

/// References to the node's parts; they outlive the services.
struct node_dependencies {
  asio::io_context& context;
  kv::client& service;
  http::client& transport;
  config::store const& config;
  config::sync& config_sync;
  membership::table const& members;
  ownership::keeper const& owner;
  machines::machine_list const& machines;
  routing::leaving_tracker const& leaving;
  bulk::client& bulk;
  std::string zone;
  std::string placement;
  std::string address;
  /// The controller of an engine that this node owns, or null.
  std::function<std::shared_ptr<engines::controller>(std::string const&)> local_controller;
  /// Whether this node may be cut off and must send nothing new.
  std::function<bool()> is_cut_off;
};

}  // namespace frostline::rollout
