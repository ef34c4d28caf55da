/// @file Maintains this node's lease and its owner records in the key-value service: acquires free
/// resources, and releases resources while this node owns more than its share.
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
  /// @param address HTTP address to publish in owner records.
  /// @param list_resources returns all resources that need an owner.
  ownership_manager(asio::io_context& context, kv::client& service, config::store const& store,
                    config::sync& sync, membership::table const& members, identity self,
                    std::string address, std::function<std::vector<resource>()> list_resources);

  void start();
  /// Stops acquiring resources and revokes the lease, which releases all owned resources.
  awaitable<void> release_all();
  /// Stops acquiring resources and renewing the lease, so that owned resources become free.
  void stop() { stopping_ = true; }

  /// Epoch at which this process owns a resource; 0 if it does not own it.
  kv::revision epoch_of(std::string const& key) const;
  identity const& self() const { return self_; }

 private:
  awaitable<void> lease_loop();
  awaitable<void> acquire_loop();
  awaitable<void> acquire(acquisition target);
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
