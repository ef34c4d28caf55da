/// @file Settings of a node: a TOML file, overridden by flags, checked as a whole.
#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::node {

struct settings {
  std::string id;
  std::string zone;
  /// Where this node serves callers, trainers, operators and other nodes.
  endpoint listen;
  /// Where it gossips (UDP).
  endpoint gossip;
  std::vector<endpoint> kv;
  endpoint machines;
  /// Empty: this node keeps nothing.
  std::string data_folder;
  std::string log_level = "info";
  std::string placement = "prefix_affinity";
  std::size_t bulk_copies = 2;
  milliseconds drain_time{30'000};
  http::server_limits limits;
};

/// One fault in the settings.
struct settings_error {
  /// File, or "flags".
  std::string source;
  std::string key;
  std::string reason;

  std::string to_string() const { return source + ": " + key + ": " + reason; }
};

/// What one key is for; the operators' page is checked against this table.
struct setting_description {
  std::string_view key;
  std::string_view fallback;
  std::string_view meaning;
};

std::vector<setting_description> const& describe_settings();

/// Reads a settings file. Unknown keys are errors.
/// @param into holds what could be read. @return all faults found.
std::vector<settings_error> read_settings(std::string const& path, settings& into);

/// Checks what no single key shows. @param source named in the errors.
std::vector<settings_error> check_settings(settings const& all, std::string const& source);

}  // namespace frostline::node
