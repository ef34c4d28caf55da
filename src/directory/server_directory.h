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

/// ready -> draining -> gone; ready -> gone. A server never comes back from draining: its next life
/// has a new identifier.
enum class server_state { ready, draining };

/// One life of a server; `id` is never used again.
struct server {
  std::string id;
  std::string service;
  endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  server_state state = server_state::ready;
  /// Model to the version of its weights; empty for application servers.
  std::map<std::string, std::uint64_t> models;
  /// Orders taken in this life, as far as discovery knows.
  std::uint64_t sequence = 0;

  bool operator==(server const&) const = default;
};

/// Whether callers can treat both alike: versions of weights and counts of orders, which matter to
/// the owner of a pool alone, are left out.
bool serve_alike(server const& left, server const& right);

class server_directory {
 public:
  void replace_all(std::vector<server> servers);
  void put(server one);
  void remove(std::string const& id);

  bool is_loaded() const { return loaded_; }
  server const* find(std::string const& id) const;
  /// Servers of a service that may get new work.
  std::vector<server const*> ready_servers(std::string const& service) const;
  std::map<std::string, server> const& servers() const { return servers_; }
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

 private:
  void notify() const;

  std::map<std::string, server> servers_;
  bool loaded_ = false;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace frostline::directory
