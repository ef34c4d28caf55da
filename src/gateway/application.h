/// @file A gateway node: creates and connects all components. Only this class refers to all of
/// them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/settings.h"

namespace frostline::gateway {

/// Transitions: starting -> serving (configuration and servers were received) -> stopping ->
/// stopped; starting -> stopping.
enum class application_state { starting, serving, stopping, stopped };

class application {
 public:
  /// References must outlive the application.
  application(asio::io_context& context, settings initial_settings, platform_adapter& adapter);
  ~application();

  /// Starts the components and binds all listeners. An address that can't be bound is tried again
  /// until it can, or until a stop begins.
  void start();
  /// Begins a planned stop. @param on_stopped called when the stop is complete.
  void stop(std::function<void()> on_stopped);
  /// Applies changed settings that do not need a restart.
  void reload(settings const& new_settings);
  application_state state() const;

 private:
  struct components;
  std::unique_ptr<components> components_;
};

}  // namespace frostline::gateway
