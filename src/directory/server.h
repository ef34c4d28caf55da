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
  /// Number of load orders accepted by this incarnation, as of the record.
  std::uint64_t sequence = 0;

  /// Key that identifies this incarnation, also among those with the same identifier.
  std::string incarnation() const { return born == 0 ? id : id + "/" + std::to_string(born); }
  bool operator==(server const&) const = default;
};

/// Digest of the fields that callers depend on. Weight versions and order counts, which only matter
/// to the owner of a pool, are left out.
std::uint64_t digest_for_callers(server const& record);

}  // namespace frostline::directory
