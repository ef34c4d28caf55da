/// @file Directory of the servers behind the gateway, from service discovery records.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "directory/server.h"
#include "directory/service_index.h"

namespace frostline::directory {

class server_directory {
 public:
  /// @param ids servers that may have been added, changed or removed.
  using change_listener = std::function<void(std::vector<std::string> const& ids)>;

  /// Replaces the contents. Records of an earlier incarnation than the stored one are stale and
  /// ignored.
  void replace_all(std::vector<server> servers);
  /// Adds or updates one server, unless the record is stale.
  void put(server record);
  /// Adds or updates several servers. Listeners run once.
  void put_all(std::vector<server> servers);
  void remove(std::string const& id);
  /// Removes servers that this node no longer watches; they may still be serving.
  void forget(std::vector<std::string> const& ids);

  bool is_loaded() const { return loaded_; }
  server const* find(std::string const& id) const;
  /// Returns true if the process of `previous` no longer runs: the directory holds a later
  /// incarnation with the same identifier, or another server of the same service at the same
  /// address.
  bool is_superseded(server const& previous) const;
  /// Returns true if this incarnation is draining.
  bool is_leaving(server const& record) const;
  /// Servers of a service that accept new requests, sorted by identifier.
  std::vector<server const*> const& ready_servers(std::string const& service) const {
    return index_.ready(service);
  }
  /// Requests that the ready servers of a service can execute concurrently.
  std::uint64_t ready_slots(std::string const& service) const {
    return index_.ready_slots(service);
  }
  std::map<std::string, server> const& servers() const { return servers_; }
  void on_change(change_listener listener) { listeners_.push_back(std::move(listener)); }
  /// Sets the listener for restarts of servers under their previous identifier.
  void on_server_restart(std::function<void(server const&)> listener) {
    restart_listener_ = std::move(listener);
  }

 private:
  void notify(std::vector<std::string> const& ids) const;
  void log_size() const;
  void erase(std::string const& id);
  /// Stores one record. @return false if it is stale.
  bool apply_record(server record);

  std::map<std::string, server> servers_;
  service_index index_;
  bool loaded_ = false;
  std::vector<change_listener> listeners_;
  std::function<void(server const&)> restart_listener_;
};

}  // namespace frostline::directory
