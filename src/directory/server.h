/// @file Service discovery record of a server behind the gateway.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/endpoint.h"

namespace frostline::directory {

/// ready -> draining -> removed; ready -> removed. An incarnation never leaves the draining state.
enum class server_state { ready, draining };

/// One incarnation of a server: the lifetime of one process. A server may restart under the same
/// identifier, and then keeps no state.
struct server {
  std::string id;
  /// Start time of this incarnation in Unix milliseconds, by the server's own clock; 0 if not
  /// reported. Later incarnations have higher values.
  std::uint64_t born = 0;
  std::string service;
  endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  server_state state = server_state::ready;
  /// Weight version by model; empty for application servers.
  std::map<std::string, std::uint64_t> models;
  /// Number of load orders that this incarnation had accepted when the record was written.
  std::uint64_t sequence = 0;

  /// Returns a key of this incarnation: the identifier, followed by `born` if that is reported.
  std::string incarnation() const { return born == 0 ? id : id + "/" + std::to_string(born); }
  bool operator==(server const&) const = default;
};

/// Returns a digest of the fields that callers depend on. Excludes weight versions and order
/// counts, which only matter to the owner of a pool.
std::uint64_t digest_for_callers(server const& record);

}  // namespace frostline::directory
