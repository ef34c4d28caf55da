/// @file Settings of a gateway, read from a TOML file that is validated as a whole. Unknown keys
/// are ignored, so that a platform may add its own.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "gateway/features.h"
#include "kv/record_store.h"

namespace frostline::gateway {

/// Role of a process. `gateway` serves clients; `spare` reserves a place on a machine and is
/// otherwise idle.
enum class process_role { gateway, spare };

/// Part of the machine's memory for each of: bodies of clients' requests, of other nodes' requests,
/// answers, and jobs.
inline constexpr std::size_t k_memory_divisor = 4;

struct settings {
  process_role role = process_role::gateway;
  std::string id;
  std::string zone;
  /// Share of a processor core that the process may use.
  double processor_share = 0.25;
  /// Address at which the gateway accepts clients.
  endpoint clients;
  /// Address for the platform's readiness probe.
  endpoint readiness;
  /// Address at which the gateway accepts calls of other nodes and serves metrics.
  endpoint peers;
  /// `peers` addresses of some other nodes, not all of which need to be running.
  std::vector<endpoint> seeds;
  endpoint record_store;
  kv::store_limits store_limits;
  /// Minimum time between the last order of a pool's owner and the first one of its successor.
  milliseconds order_gap{3000};
  /// Time after a server's departure from which it must receive no more requests.
  milliseconds leave_time{2000};
  /// Maximum duration of a planned stop.
  milliseconds stop_time{8000};
  /// How long a job can be read after it has ended.
  milliseconds retention{120'000};
  /// Address of the platform's duty service; without it there are no duties.
  std::optional<endpoint> duty_service;
  /// Length of the windows for which usage is reported; 0: usage is not reported.
  milliseconds usage_window{0};
  /// Time after the end of a window within which its usage must be reported.
  milliseconds usage_late{10'000};
  feature_settings features;
  std::size_t connections = 2000;
  /// Connections of other nodes at once.
  std::size_t peer_connections = 1200;
  /// Memory of the machine, in bytes.
  std::size_t memory = std::size_t{260} << 20;
  /// Memory that the bodies of requests take at once at each listener, in bytes; 0: a quarter of
  /// the machine's.
  std::size_t request_memory = 0;
  std::string log_level = "info";
};

struct settings_error {
  std::string source;
  std::string key;
  std::string reason;

  std::string to_string() const { return source + ": " + key + ": " + reason; }
  bool operator==(settings_error const&) const = default;
};

struct setting_description {
  std::string_view key;
  std::string_view fallback;
  std::string_view meaning;
};

std::vector<setting_description> const& describe_settings();

/// Reads and validates a settings file. @param into receives all values that could be read. @return
/// all errors.
std::vector<settings_error> read_settings(std::string const& path, settings& into);

}  // namespace frostline::gateway
