/// @file Servers by service and by address, kept up as single servers change, so that no question
/// looks through all servers. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "directory/server.h"

namespace frostline::directory {

class service_index {
 public:
  /// @param one stays where it is, unchanged, until it is removed.
  void add(server const& one);
  void remove(server const& one);

  /// Servers of a service that may get new work, by identifier.
  std::vector<server const*> const& ready(std::string const& service) const;
  /// Requests that the ready servers of a service take at once.
  std::uint64_t ready_slots(std::string const& service) const;
  /// Whether a server of the same service with another identifier has this one's address.
  bool has_other_at_address(server const& one) const;

 private:
  struct service_servers {
    std::vector<server const*> ready;
    std::uint64_t slots = 0;
    /// Identifiers by address.
    std::map<std::string, std::set<std::string>> at_address;
  };

  std::map<std::string, service_servers> services_;
};

}  // namespace frostline::directory
