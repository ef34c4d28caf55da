/// @file The servers behind the gateway as service discovery tells them. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace frostline::directory {

/// ready -> draining -> gone; ready -> gone. A life of a server never comes back from draining.
enum class server_state { ready, draining };

/// One life of a server. It may start again under its identifier, and then knows nothing of before.
struct server {
  std::string id;
  /// When this life began, Unix milliseconds by its own clock; 0: not told. A later life has a
  /// higher number.
  std::uint64_t born = 0;
  std::string service;
  endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  server_state state = server_state::ready;
  /// Model to the version of its weights; empty for application servers.
  std::map<std::string, std::uint64_t> models;
  /// Orders taken in this life, as far as discovery knows.
  std::uint64_t sequence = 0;

  /// Tells lives apart, also those under one identifier.
  std::string life() const { return born == 0 ? id : id + "/" + std::to_string(born); }
  bool operator==(server const&) const = default;
};

/// Equal for servers that callers can treat alike: versions of weights and counts of orders, which
/// matter to the owner of a pool alone, are left out.
std::uint64_t digest_for_callers(server const& one);

class server_directory {
 public:
  /// Records of a former life of a server that is known are passed over: they were written late.
  void replace_all(std::vector<server> servers);
  void put(server one);
  /// Listeners run once for all of them.
  void put_all(std::vector<server> servers);
  void remove(std::string const& id);
  /// Servers that this node does not follow any more, whether they still serve or not.
  void forget(std::vector<std::string> const& ids);

  bool is_loaded() const { return loaded_; }
  server const* find(std::string const& id) const;
  /// Whether a later life is known under this one's identifier, or at its address in its service:
  /// then this one is over.
  bool is_replaced(server const& former) const;
  /// Whether this life has said that it is about to end.
  bool is_leaving(server const& one) const;
  /// Servers of a service that may get new work.
  std::vector<server const*> ready_servers(std::string const& service) const;
  std::map<std::string, server> const& servers() const { return servers_; }
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }
  /// Runs when a server is known to have started again under its identifier.
  void on_new_life(std::function<void(server const&)> listener) { new_life_ = std::move(listener); }

 private:
  void notify() const;
  void log_size() const;
  /// Takes one record over. @return false if it is of a former life.
  bool take(server one);

  std::map<std::string, server> servers_;
  bool loaded_ = false;
  std::vector<std::function<void()>> listeners_;
  std::function<void(server const&)> new_life_;
};

}  // namespace frostline::directory
