/// @file The servers behind the gateway as service discovery tells them. Pure.
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
  /// @param ids of the servers that may have changed, come or gone.
  using change_listener = std::function<void(std::vector<std::string> const& ids)>;

  /// Records of a former incarnation of a server that is known are passed over: they were written
  /// late.
  void replace_all(std::vector<server> servers);
  void put(server one);
  /// Listeners run once for all of them.
  void put_all(std::vector<server> servers);
  void remove(std::string const& id);
  /// Servers that this node does not follow any more, whether they still serve or not.
  void forget(std::vector<std::string> const& ids);

  bool is_loaded() const { return loaded_; }
  server const* find(std::string const& id) const;
  /// Whether a later incarnation is known under this one's identifier, or at its address in its
  /// service: then this one is over.
  bool is_superseded(server const& former) const;
  /// Whether this incarnation has said that it is about to end.
  bool is_leaving(server const& one) const;
  /// Servers of a service that may get new work.
  std::vector<server const*> const& ready_servers(std::string const& service) const {
    return index_.ready(service);
  }
  /// Requests that they take at once.
  std::uint64_t ready_slots(std::string const& service) const {
    return index_.ready_slots(service);
  }
  std::map<std::string, server> const& servers() const { return servers_; }
  void on_change(change_listener one) { listeners_.push_back(std::move(one)); }
  /// Runs when a server is known to have started again under its identifier.
  void on_server_restart(std::function<void(server const&)> listener) {
    new_life_ = std::move(listener);
  }

 private:
  void notify(std::vector<std::string> const& ids) const;
  void log_size() const;
  void erase(std::string const& id);
  /// Takes one record over. @return false if it is of a former incarnation.
  bool take(server one);

  std::map<std::string, server> servers_;
  service_index index_;
  bool loaded_ = false;
  std::vector<change_listener> listeners_;
  std::function<void(server const&)> new_life_;
};

}  // namespace frostline::directory
