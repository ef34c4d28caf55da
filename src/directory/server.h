/// @file A server behind the gateway, as service discovery tells of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/endpoint.h"

namespace frostline::directory {

/// ready -> draining -> gone; ready -> gone. A incarnation of a server never comes back from
/// draining.
enum class server_state { ready, draining };

/// One incarnation of a server. It may start again under its identifier, and then knows nothing of
/// before.
struct server {
  std::string id;
  /// When this incarnation began, Unix milliseconds by its own clock; 0: not told. A later
  /// incarnation has a higher number.
  std::uint64_t born = 0;
  std::string service;
  endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  server_state state = server_state::ready;
  /// Model to the version of its weights; empty for application servers.
  std::map<std::string, std::uint64_t> models;
  /// Orders taken in this incarnation, as far as discovery knows.
  std::uint64_t sequence = 0;

  /// Tells lives apart, also those under one identifier.
  std::string incarnation() const { return born == 0 ? id : id + "/" + std::to_string(born); }
  bool operator==(server const&) const = default;
};

/// Equal for servers that callers can treat alike: versions of weights and counts of orders, which
/// matter to the owner of a pool alone, are left out.
std::uint64_t digest_for_callers(server const& one);

}  // namespace frostline::directory
