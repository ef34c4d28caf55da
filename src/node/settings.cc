#include "node/settings.h"

#include <toml++/toml.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "rollout/placement.h"

namespace frostline::node {
namespace {

/// Parses a value and stores it in the settings.
/// @return the reason why the value is invalid, or an empty string.
using reader = std::function<std::string(toml::node const&, settings&)>;

struct setting {
  setting_description description;
  reader read;
};

reader text(std::string settings::*member) {
  return [member](toml::node const& value, settings& target) -> std::string {
    auto const found = value.value<std::string>();
    if (!found) return "must be text";
    target.*member = *found;
    return {};
  };
}

reader address(endpoint settings::*member) {
  return [member](toml::node const& value, settings& target) -> std::string {
    auto const parsed = parse_endpoint(value.value_or<std::string>(""));
    if (!parsed) return "must be \"IP:port\" with a numeric IPv4 address";
    target.*member = *parsed;
    return {};
  };
}

std::string read_addresses(toml::node const& value, settings& target) {
  auto const* list = value.as_array();
  if (list == nullptr || list->empty()) return "must be a list of \"IP:port\"";
  target.kv.clear();
  for (auto const& item : *list) {
    auto const parsed = parse_endpoint(item.value_or<std::string>(""));
    if (!parsed) return "must be a list of \"IP:port\" with numeric IPv4 addresses";
    target.kv.push_back(*parsed);
  }
  return {};
}

/// Returns a reader for integers in [minimum, maximum], which it passes to `assign`.
reader number(std::int64_t minimum, std::int64_t maximum,
              std::function<void(settings&, std::int64_t)> assign) {
  return [=](toml::node const& value, settings& target) -> std::string {
    auto const found = value.value<std::int64_t>();
    if (!found || *found < minimum || *found > maximum) {
      return "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    }
    assign(target, *found);
    return {};
  };
}

std::vector<setting> const& all_settings() {
  static std::vector<setting> const all = {
      {{"node.id", "", "name of the node, unique among all machines"}, text(&settings::id)},
      {{"node.zone", "", "zone that the node stands in"}, text(&settings::zone)},
      {{"node.data_folder", "", "folder for bulk data; without it the node keeps nothing"},
       text(&settings::data_folder)},
      {{"listen.http", "", "IP:port for callers, trainers, operators and other nodes"},
       address(&settings::listen)},
      {{"listen.gossip", "", "IP:port (UDP) for membership"}, address(&settings::gossip)},
      {{"platform.kv", "", "list of IP:port of the key-value service"}, read_addresses},
      {{"platform.machines", "", "IP:port of the machine list"}, address(&settings::machines)},
      {{"log.level", "info", "debug, info, warning or error"}, text(&settings::log_level)},
      {{"rollout.placement", "prefix_affinity",
        "round_robin, least_loaded or prefix_affinity: how engines are chosen"},
       text(&settings::placement)},
      {{"rollout.bulk_copies", "2",
        "disk nodes that must hold submitted prompts and finished samples (1 to 5)"},
       number(1, 5,
              [](settings& target, std::int64_t value) {
                target.bulk_copies = static_cast<std::size_t>(value);
              })},
      {{"stop.drain_seconds", "30", "longest time for a planned stop (1 to 3600)"},
       number(1, 3600,
              [](settings& target, std::int64_t value) { target.drain_time = seconds(value); })},
      {{"limits.header_bytes", "16384",
        "largest request header; at most 49152 take effect (1024 to 1048576)"},
       number(1024, 1 << 20,
              [](settings& target, std::int64_t value) {
                target.limits.header_bytes = static_cast<std::size_t>(value);
              })},
      {{"limits.body_bytes", "16777216", "largest request body (1024 to 268435456)"},
       number(1024, 256 << 20,
              [](settings& target, std::int64_t value) {
                target.limits.body_bytes = static_cast<std::size_t>(value);
              })},
      {{"limits.connections", "4096", "connections at once (1 to 100000)"},
       number(1, 100'000,
              [](settings& target, std::int64_t value) {
                target.limits.connections = static_cast<std::size_t>(value);
              })},
      {{"limits.read_timeout_ms", "10000", "time for one whole request to arrive (100 to 600000)"},
       number(100, 600'000,
              [](settings& target, std::int64_t value) {
                target.limits.read_timeout = milliseconds(value);
              })},
      {{"limits.idle_timeout_ms", "60000", "time an idle connection is kept (100 to 3600000)"},
       number(100, 3'600'000,
              [](settings& target, std::int64_t value) {
                target.limits.idle_timeout = milliseconds(value);
              })},
  };
  return all;
}

setting const* find_setting(std::string const& key) {
  for (setting const& entry : all_settings()) {
    if (entry.description.key == key) return &entry;
  }
  return nullptr;
}

void read_section(std::string const& source, std::string const& section, toml::table const& values,
                  settings& target, std::vector<settings_error>& errors) {
  for (auto const& [name, value] : values) {
    std::string const key = section + "." + std::string(name.str());
    setting const* known = find_setting(key);
    std::string const reason = known == nullptr ? "unknown key" : known->read(value, target);
    if (!reason.empty()) errors.push_back({source, key, reason});
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

std::vector<settings_error> read_settings(std::string const& path, settings& target) {
  std::vector<settings_error> errors;
  try {
    toml::table const file = toml::parse_file(path);
    for (auto const& [name, value] : file) {
      std::string const section(name.str());
      if (auto const* table = value.as_table()) {
        read_section(path, section, *table, target, errors);
      } else {
        errors.push_back({path, section, "unknown key"});
      }
    }
  } catch (toml::parse_error const& failure) {
    std::ostringstream location;
    location << "line " << failure.source().begin.line;
    errors.push_back({path, location.str(), std::string(failure.description())});
  }
  return errors;
}

std::vector<settings_error> check_settings(settings const& node_settings,
                                           std::string const& source) {
  std::vector<settings_error> errors;
  auto const require = [&](bool holds, std::string key, std::string reason) {
    if (!holds) errors.push_back({source, std::move(key), std::move(reason)});
  };
  require(!node_settings.id.empty(), "node.id", "is missing");
  require(!node_settings.zone.empty(), "node.zone", "is missing");
  require(!node_settings.listen.address.empty(), "listen.http", "is missing");
  require(!node_settings.gossip.address.empty(), "listen.gossip", "is missing");
  require(!node_settings.kv.empty(), "platform.kv", "is missing");
  require(!node_settings.machines.address.empty(), "platform.machines", "is missing");
  std::set<std::string> const levels = {"debug", "info", "warning", "error"};
  require(levels.contains(node_settings.log_level), "log.level",
          "must be debug, info, warning or error");
  bool const known_policy = rollout::make_placement_policy(node_settings.placement, 0) != nullptr;
  require(known_policy, "rollout.placement",
          "must be round_robin, least_loaded or prefix_affinity");
  return errors;
}

}  // namespace frostline::node
