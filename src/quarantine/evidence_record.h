/// @file What a node keeps in the record store of the crashes that it knows of. Pure.
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

/// A request and the lives of servers that ended under it.
struct kept_evidence {
  fingerprint request;
  std::vector<std::string> servers;
  bool operator==(kept_evidence const&) const = default;
};

struct evidence_record {
  /// Where its writer takes reports.
  endpoint writer;
  /// Of the writer's process.
  std::string incarnation;
  std::vector<kept_evidence> requests;
  /// Unix milliseconds, by the writer's clock.
  std::uint64_t written_at_ms = 0;

  static std::string records_prefix();
  static std::string key_of(std::string const& node);
  std::string encode() const;
  /// @return nothing if the record is malformed.
  static std::optional<evidence_record> decode(std::string const& value);
};

/// Key prefix of all that the quarantine keeps in the store: evidence, and requests that are kept
/// from servers.
std::string quarantine_records_prefix();

}  // namespace frostline::quarantine
