/// @file Wires a node's parts together; the only place that knows all of them.
#pragma once

#include <memory>

#include "node/settings.h"

namespace frostline::node {

/// Lifecycle of a node. starting -> serving (configuration is complete) -> draining -> stopped;
/// starting -> draining.
enum class node_state { starting, serving, draining, stopped };

class application {
 public:
  explicit application(settings all);
  ~application();

  /// Runs until a planned stop has ended. @return exit code.
  int run();

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace frostline::node
