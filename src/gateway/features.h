/// @file Which features a node's settings and the active configuration turn on.
#pragma once

#include <string>

#include "base/feature_switch.h"
#include "calls/route_table.h"

namespace frostline::gateway {

/// Values of the settings that control features.
struct feature_settings {
  feature_switch sample_order = feature_switch::automatic;
  feature_switch memory_plan = feature_switch::automatic;
  feature_switch slow_servers = feature_switch::automatic;
  /// Off unless the operator turns it on: on the days measured so far it gained nothing.
  feature_switch attempt_times = feature_switch::off;
};

/// The answers may change with each configuration, so callers must not keep them. No I/O; reads no
/// clock.
class features {
 public:
  /// @param configuration must outlive this object.
  features(feature_settings const& values, calls::active_configuration const& configuration)
      : values_(values), configuration_(configuration) {}

  bool orders_by_due_time(std::string const& pool) const {
    return is_enabled(values_.sample_order, has_competing_trainers(pool));
  }
  bool plans_memory(std::string const& pool) const {
    return is_enabled(values_.memory_plan, has_competing_trainers(pool));
  }
  bool avoids_slow_servers() const {
    return is_enabled(values_.slow_servers, has_competing_trainers());
  }
  bool times_attempts() const {
    return is_enabled(values_.attempt_times, has_competing_trainers());
  }

 private:
  bool has_competing_trainers() const {
    auto const& table = configuration_.table();
    return table && !table->competing_pools().empty();
  }
  bool has_competing_trainers(std::string const& pool) const {
    auto const& table = configuration_.table();
    return table && table->competing_pools().contains(pool);
  }

  feature_settings values_;
  calls::active_configuration const& configuration_;
};

}  // namespace frostline::gateway
