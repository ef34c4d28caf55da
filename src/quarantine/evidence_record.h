/// @file The record in which a node stores its crash evidence. No I/O; reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "kv/types.h"
#include "quarantine/suspect_table.h"

namespace frostline::quarantine {

/// A request and the server incarnations that crashed while running it.
struct stored_evidence {
  fingerprint request;
  std::vector<std::string> servers;
  bool operator==(stored_evidence const&) const = default;
};

struct evidence_record {
  /// Address at which the writer accepts crash reports.
  endpoint writer;
  /// Incarnation of the writer's process.
  std::string incarnation;
  std::vector<stored_evidence> requests;
  /// Unix time in milliseconds, by the writer's clock.
  std::uint64_t written_at_ms = 0;

  static std::string records_prefix();
  static std::string key_of(std::string const& node);
  std::string encode() const;
  /// @return nullopt if the record is malformed.
  static std::optional<evidence_record> decode(std::string const& value);
};

/// Prefix of all keys that the quarantine uses in the store, for evidence and for quarantine
/// records.
std::string quarantine_records_prefix();

/// Key of the marker that the system has run: an evidence record without requests, by the node that
/// found the store empty at its start.
std::string run_marker_key();

}  // namespace frostline::quarantine
