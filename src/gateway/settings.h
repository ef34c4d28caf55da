/// @file Settings of a gateway: a TOML file, checked as a whole. Unknown keys are ignored, so that
/// a platform may add to the file.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "kv/record_store.h"

namespace frostline::gateway {

/// What a process does. `gateway` serves clients; `spare` holds a machine's place and does nothing.
enum class process_role { gateway, spare };

struct settings {
  process_role role = process_role::gateway;
  std::string id;
  std::string zone;
  /// Share of a core that the process may use.
  double processor_share = 0.25;
  /// Where clients connect.
  endpoint clients;
  /// Where the platform asks whether this node takes clients.
  endpoint readiness;
  /// Where other nodes connect.
  endpoint peers;
  /// Some nodes' addresses for other nodes; any of them may be down.
  std::vector<endpoint> seeds;
  endpoint record_store;
  kv::store_limits store_limits;
  /// Orders of two owners never come closer than this.
  milliseconds order_gap{3000};
  /// A server that has left gets nothing more after this time.
  milliseconds leave_time{2000};
  /// Longest planned stop.
  milliseconds stop_time{8000};
  /// For how long ended jobs can be read.
  milliseconds retention{120'000};
  /// Where the platform takes what one node at a time tells it; none: there are no duties.
  std::optional<endpoint> duty_service;
  /// Usage is reported for windows of this length; 0: it is not reported.
  milliseconds usage_window{0};
  /// A window's usage is due that long after its end.
  milliseconds usage_late{10'000};
  std::size_t connections = 2000;
  std::string log_level = "info";
};

struct settings_error {
  std::string source;
  std::string key;
  std::string reason;

  std::string to_string() const { return source + ": " + key + ": " + reason; }
};

struct setting_description {
  std::string_view key;
  std::string_view fallback;
  std::string_view meaning;
};

std::vector<setting_description> const& describe_settings();

/// Reads and checks a settings file. @param into holds what could be read. @return all faults.
std::vector<settings_error> read_settings(std::string const& path, settings& into);

}  // namespace frostline::gateway
