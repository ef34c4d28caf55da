#include "gateway/settings.h"

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <set>
#include <sstream>

namespace frostline::gateway {
namespace {

/// Parses one value into the settings. @return an error message; empty on success.
using reader = std::function<std::string(toml::node const&, settings&)>;

struct setting {
  setting_description description;
  reader read;
  /// Roles for which the setting is required.
  bool gateway_needs = false;
  bool spare_needs = false;
};

reader text(std::string settings::*member) {
  return [member](toml::node const& value, settings& into) -> std::string {
    auto const parsed_value = value.value<std::string>();
    if (!parsed_value || parsed_value->empty()) return "must be text";
    into.*member = *parsed_value;
    return {};
  };
}

reader address(endpoint settings::*member) {
  return [member](toml::node const& value, settings& into) -> std::string {
    auto const parsed = parse_endpoint(value.value_or<std::string>(""));
    if (!parsed) return "must be \"IP:port\" with a numeric IPv4 address";
    into.*member = *parsed;
    return {};
  };
}

/// Reads a number within [minimum, maximum] and passes it to `apply`.
reader number(double minimum, double maximum, std::function<void(settings&, double)> apply) {
  return [=](toml::node const& value, settings& into) -> std::string {
    auto const parsed_value = value.value<double>();
    // A number that is none ("nan") is not in any range.
    bool const is_valid = parsed_value && *parsed_value >= minimum && *parsed_value <= maximum;
    if (!is_valid) {
      std::ostringstream reason;
      reason << "must be a number from " << minimum << " to " << maximum;
      return reason.str();
    }
    apply(into, *parsed_value);
    return {};
  };
}

milliseconds from_seconds(double value) {
  return milliseconds(static_cast<std::int64_t>(value * 1000));
}

std::size_t from_mib(double value) { return static_cast<std::size_t>(value * (1 << 20)); }

std::string read_seeds(toml::node const& value, settings& into) {
  auto const text = value.value<std::string>();
  if (!text) return "must be text";
  into.seeds.clear();
  std::istringstream parts(*text);
  for (std::string part; std::getline(parts, part, ',');) {
    auto const parsed = parse_endpoint(part);
    if (!parsed) return "must be \"IP:port\" with numeric IPv4 addresses, separated by commas";
    into.seeds.push_back(*parsed);
  }
  return {};
}

std::string read_role(toml::node const& value, settings& into) {
  std::string const word = value.value_or<std::string>("");
  if (word != "gateway" && word != "spare") return "must be gateway or spare";
  into.role = word == "spare" ? process_role::spare : process_role::gateway;
  return {};
}

std::string read_level(toml::node const& value, settings& into) {
  static std::set<std::string> const levels = {"debug", "info", "warning", "error"};
  std::string const word = value.value_or<std::string>("");
  if (!levels.contains(word)) return "must be debug, info, warning or error";
  into.log_level = word;
  return {};
}

reader feature(feature_switch feature_settings::*member) {
  return [member](toml::node const& value, settings& into) -> std::string {
    auto const parsed = parse_feature_switch(value.value_or<std::string>(""));
    if (!parsed) return "must be " + std::string(k_feature_switch_values);
    into.features.*member = *parsed;
    return {};
  };
}

std::vector<setting> const& all_settings() {
  static std::vector<setting> const all = {
      {{"node.role", "gateway", "gateway: serves clients; spare: does nothing"}, read_role},
      {{"node.id", "", "name of the node, unique among all machines"},
       text(&settings::id),
       true,
       true},
      {{"node.zone", "", "zone that the node stands in"}, text(&settings::zone), true},
      {{"node.processor_share", "0.25",
        "share of a core that the process may use; the strongest nodes own pools"},
       number(0.001, 4096, [](settings& into, double value) { into.processor_share = value; })},
      {{"listen.clients", "", "IP:port for clients"}, address(&settings::clients), true},
      {{"listen.readiness", "", "IP:port that answers 200 while the node takes clients"},
       address(&settings::readiness),
       true},
      {{"listen.peers", "", "IP:port for other nodes, and for metrics"},
       address(&settings::peers),
       true},
      {{"relay.seeds", "",
        "IP:port of some nodes' listen.peers, parted by commas: whom a node asks at its start"},
       read_seeds},
      {{"record_store.address", "", "IP:port of the record store"},
       address(&settings::record_store),
       true},
      {{"record_store.value_bytes", "1048576", "largest value of a record"},
       number(1024, 1 << 30,
              [](settings& into, double value) {
                into.store_limits.value_bytes = static_cast<std::size_t>(value);
              })},
      {{"record_store.shortest_lease_ms", "1000", "shortest time to live of a lease"},
       number(1, 600'000,
              [](settings& into, double value) {
                into.store_limits.shortest_lease = milliseconds(static_cast<std::int64_t>(value));
              })},
      {{"orders.gap_ms", "3000", "orders of two owners never come closer than this"},
       number(0, 600'000,
              [](settings& into, double value) {
                into.order_gap = milliseconds(static_cast<std::int64_t>(value));
              })},
      {{"servers.leave_ms", "2000", "a server that has left gets nothing more after this time"},
       number(0, 600'000,
              [](settings& into, double value) {
                into.leave_time = milliseconds(static_cast<std::int64_t>(value));
              })},
      {{"stop.seconds", "8", "longest time for a planned stop"},
       number(0.1, 3600,
              [](settings& into, double value) { into.stop_time = from_seconds(value); })},
      {{"jobs.retention_seconds", "120", "time for which an ended job can be read"},
       number(1, 1'000'000,
              [](settings& into, double value) { into.retention = from_seconds(value); })},
      {{"duties.address", "",
        "IP:port of the platform's service for calls of one node at a time; without it none are "
        "made"},
       [](toml::node const& value, settings& into) -> std::string {
         auto const parsed = parse_endpoint(value.value_or<std::string>(""));
         if (!parsed) return "must be \"IP:port\" with a numeric IPv4 address";
         into.duty_service = *parsed;
         return {};
       }},
      {{"usage.window_seconds", "0",
        "length of a window for which usage is reported; 0: none is reported"},
       number(0, 86'400,
              [](settings& into, double value) { into.usage_window = from_seconds(value); })},
      {{"usage.late_seconds", "10", "a window's usage is due that long after its end"},
       number(0.1, 86'400,
              [](settings& into, double value) { into.usage_late = from_seconds(value); })},
      {{"scheduling.order", "auto",
        "order samples by the time that is left until they are due: auto, on or off; auto: where "
        "trainers of one priority share engines"},
       feature(&feature_settings::sample_order)},
      {{"scheduling.memory", "auto",
        "admit runs by the memory that they hold over time: auto, on or off; auto: as for "
        "scheduling.order"},
       feature(&feature_settings::memory_plan)},
      {{"balancing.slow_servers", "auto",
        "avoid servers that are measured to be slow: auto, on or off; auto: as for "
        "scheduling.order, for all services"},
       feature(&feature_settings::slow_servers)},
      {{"balancing.attempts", "off",
        "end attempts early by the time that servers usually take: auto, on or off; auto: as for "
        "scheduling.order, for all services"},
       feature(&feature_settings::attempt_times)},
      {{"limits.connections", "2000", "client connections at once"},
       number(1, 1'000'000,
              [](settings& into, double value) {
                into.connections = static_cast<std::size_t>(value);
              })},
      {{"limits.peer_connections", "1200", "connections of other nodes at once"},
       number(1, 1 << 20,
              [](settings& into, double value) {
                into.peer_connections = static_cast<std::size_t>(value);
              })},
      {{"limits.memory_mb", "260", "memory of the machine, in MiB"},
       number(16, 1 << 20, [](settings& into, double value) { into.memory = from_mib(value); })},
      {{"limits.request_memory_mb", "0",
        "memory that the bodies of requests take at once at each listener, in MiB; 0: a quarter of "
        "limits.memory_mb. A larger body is refused as too large"},
       number(0, 1 << 20,
              [](settings& into, double value) { into.request_memory = from_mib(value); })},
      {{"log.level", "info", "debug, info, warning or error"}, read_level},
  };
  return all;
}

void read_known(std::string const& path, toml::table const& file, settings& into,
                std::vector<settings_error>& errors) {
  for (setting const& entry : all_settings()) {
    auto const value = file.at_path(entry.description.key);
    if (!value) {
      bool const needed =
          into.role == process_role::gateway ? entry.gateway_needs : entry.spare_needs;
      if (needed) errors.push_back({path, std::string(entry.description.key), "is missing"});
      continue;
    }
    std::string const reason = entry.read(*value.node(), into);
    if (!reason.empty()) errors.push_back({path, std::string(entry.description.key), reason});
  }
}

}  // namespace

std::vector<setting_description> const& describe_settings() {
  static std::vector<setting_description> const descriptions = [] {
    std::vector<setting_description> all;
    for (setting const& entry : all_settings()) all.push_back(entry.description);
    return all;
  }();
  return descriptions;
}

std::vector<settings_error> read_settings(std::string const& path, settings& into) {
  std::vector<settings_error> errors;
  try {
    read_known(path, toml::parse_file(path), into, errors);
  } catch (toml::parse_error const& failure) {
    std::ostringstream place;
    place << "line " << failure.source().begin.line;
    errors.push_back({path, place.str(), std::string(failure.description())});
  }
  return errors;
}

}  // namespace frostline::gateway
