/// @file One node: all its components, wired together; the only place that knows all of them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "node/settings.h"

namespace frostline::node {

/// Lifecycle of a node. starting -> serving (configuration is complete) -> draining -> stopped;
/// starting -> draining.
enum class node_state { starting, serving, draining, stopped };

/// What a node has spent on control, and how far it knows the system.
struct node_counters {
  std::uint64_t gossip_bytes_sent = 0;
  std::uint64_t gossip_bytes_received = 0;
  std::uint64_t http_bytes_sent = 0;
  std::uint64_t http_bytes_received = 0;
  std::uint64_t kv_operations = 0;
  std::uint64_t config_revision = 0;
  std::uint64_t members_alive = 0;
  std::uint64_t engines_controlled = 0;
  /// Controlled engines that hold all published versions.
  std::uint64_t engines_ready = 0;
  node_state state = node_state::starting;
};

class node {
 public:
  node(asio::io_context& context, settings all);
  ~node();

  /// Binds and starts everything. @return an error text; empty if it runs.
  std::string start();
  /// A planned stop; `on_stopped` runs at its end.
  void stop(std::function<void()> on_stopped);
  node_counters counters() const;

 private:
  struct components;
  std::unique_ptr<components> components_;
};

}  // namespace frostline::node
