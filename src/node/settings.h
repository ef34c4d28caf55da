/// @file Settings of a node, read from a TOML file and validated after flags were applied.
#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::node {

struct settings {
  std::string id;
  std::string zone;
  /// HTTP address for callers, trainers, operators and other nodes.
  endpoint listen;
  /// UDP address for gossip.
  endpoint gossip;
  std::vector<endpoint> kv;
  endpoint machines;
  /// Empty if this node stores no bulk data.
  std::string data_folder;
  std::string log_level = "info";
  std::string placement = "prefix_affinity";
  std::size_t bulk_copies = 2;
  milliseconds drain_time{30'000};
  http::server_limits limits;
};

/// A validation error.
struct settings_error {
  /// Path of the settings file, or "flags".
  std::string source;
  std::string key;
  std::string reason;

  std::string to_string() const { return source + ": " + key + ": " + reason; }
};

/// Documentation of a key; the operator documentation is checked against these descriptions.
struct setting_description {
  std::string_view key;
  std::string_view default_value;
  std::string_view meaning;
};

std::vector<setting_description> const& describe_settings();

/// Reads a settings file. Unknown keys are errors.
/// @param target receives all valid values, even if others are invalid.
/// @return all errors found.
std::vector<settings_error> read_settings(std::string const& path, settings& target);

/// Checks required values and values with a fixed set of choices.
/// @param source file name or "flags", used in the errors.
std::vector<settings_error> check_settings(settings const& node_settings,
                                           std::string const& source);

}  // namespace frostline::node
