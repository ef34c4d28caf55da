/// @file A node: creates all components and connects them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "node/settings.h"

namespace frostline::node {

/// Lifecycle of a node: starting -> serving (once the configuration is complete) -> draining ->
/// stopped. A starting node may also go to draining.
enum class node_state { starting, serving, draining, stopped };

/// Control-plane traffic of a node and its view of the cluster.
struct node_counters {
  std::uint64_t gossip_bytes_sent = 0;
  std::uint64_t gossip_bytes_received = 0;
  std::uint64_t http_bytes_sent = 0;
  std::uint64_t http_bytes_received = 0;
  std::uint64_t kv_operations = 0;
  std::uint64_t config_revision = 0;
  std::uint64_t members_alive = 0;
  std::uint64_t engines_controlled = 0;
  /// Controlled engines in state `ready` that have loaded at least one version.
  std::uint64_t engines_ready = 0;
  node_state state = node_state::starting;
};

class node {
 public:
  node(asio::io_context& context, settings node_settings);
  ~node();

  /// Binds the listeners and starts all components. @return an error message; empty on success.
  std::string start();
  /// Begins a planned stop; `on_stopped` is called when it has completed.
  void stop(std::function<void()> on_stopped);
  node_counters counters() const;

 private:
  struct components;
  std::unique_ptr<components> components_;
};

}  // namespace frostline::node
