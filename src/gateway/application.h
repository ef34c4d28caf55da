/// @file A gateway node: all its components, wired together; the only place that knows all of them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/settings.h"

namespace frostline::gateway {

/// starting -> serving (configuration and servers are known) -> stopping -> stopped; starting ->
/// stopping.
enum class application_state { starting, serving, stopping, stopped };

class application {
 public:
  /// References outlive the application.
  application(asio::io_context& context, settings all, platform_adapter& adapter);
  ~application();

  /// Binds and starts everything. @return an error text; empty if it runs.
  std::string start();
  /// A planned stop; `on_stopped` runs at its end.
  void stop(std::function<void()> on_stopped);
  /// Takes over settings that changed and can change while it runs.
  void reload(settings const& all);
  application_state state() const;

 private:
  struct components;
  std::unique_ptr<components> components_;
};

}  // namespace frostline::gateway
