/// @file Index of servers by service and by address. It is updated incrementally, so that queries
/// do not scan all servers.
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
  /// @param record referenced by the index; must outlive the index entry and not change while
  /// indexed.
  void add(server const& record);
  void remove(server const& record);

  /// Servers of a service that accept new requests, sorted by identifier.
  std::vector<server const*> const& ready(std::string const& service) const;
  /// Requests that the ready servers of a service can execute concurrently.
  std::uint64_t ready_slots(std::string const& service) const;
  /// Returns true if another server of the same service has the same address.
  bool has_other_at_address(server const& record) const;

 private:
  struct service_servers {
    std::vector<server const*> ready;
    std::uint64_t slots = 0;
    /// Identifiers by address.
    std::map<std::string, std::set<std::string>> ids_by_address;
  };

  std::map<std::string, service_servers> services_;
};

}  // namespace frostline::directory
