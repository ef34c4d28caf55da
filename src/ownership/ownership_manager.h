/// @file Holds this node's lease and its owner records in the key-value service.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/asio.h"
#include "config/sync.h"
#include "kv/client.h"
#include "ownership/planner.h"

namespace frostline::ownership {

class ownership_manager {
 public:
  /// @param address HTTP address that owner records carry.
  /// @param list_resources everything that wants an owner, by the node's current knowledge.
  ownership_manager(asio::io_context& context, kv::client& service, config::store const& store,
                    config::sync& sync, membership::table const& members, identity self,
                    std::string address, std::function<std::vector<resource>()> list_resources);

  void start();
  /// Gives every owned resource up, for a planned stop.
  awaitable<void> release_all();
  /// Stops acquiring.
  void stop() { stopping_ = true; }

  /// Epoch of a resource that this process owns; 0 if it does not.
  kv::revision epoch_of(std::string const& key) const;
  identity const& self() const { return self_; }

 private:
  awaitable<void> lease_loop();
  awaitable<void> acquire_loop();
  awaitable<void> acquire(acquisition wish);
  awaitable<void> rebalance(std::vector<resource> const& resources);
  awaitable<void> release(std::string key);
  awaitable<void> read_back(std::string key);
  config::store::owner_entry const* find_owner(std::string const& key) const;
  void note_owned(std::string const& key, kv::revision epoch);

  asio::io_context& context_;
  kv::client& service_;
  config::store const& store_;
  config::sync& sync_;
  membership::table const& members_;
  identity self_;
  std::string record_;
  std::function<std::vector<resource>()> list_resources_;
  kv::lease_id lease_ = 0;
  bool stopping_ = false;
  time_point next_rebalance_ = time_point::min();
};

}  // namespace frostline::ownership
