/// @file Keeps the directory of servers in step with the record store: through the node that owns a
/// pool, or the store itself.
#pragma once

#include <functional>
#include <memory>

#include "base/asio.h"
#include "directory/server_directory.h"
#include "gateway/adapter.h"
#include "gateway/pools.h"
#include "http/client.h"
#include "kv/follower.h"
#include "relay/relayed_store.h"
#include "relay/watch_relay.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {

class server_watch {
 public:
  server_watch(asio::io_context& context, platform_adapter& adapter, http::client& transport,
               pools const& owners, directory::server_directory& servers);

  void start() { follower_->start(); }
  void resynchronize() { follower_->resynchronize(); }
  /// An owner passes changes on to the other nodes, and waits for engines that have loaded.
  void set_owner(bool owner);
  /// Registers what other nodes call.
  void add_methods(rpc::dispatcher& methods);

 private:
  void take_all(kv::range_answer const& all);
  void take_one(kv::watch_event const& event);
  /// Passes a change on if callers can tell it from what was known.
  void relay_change(kv::watch_event const& event, directory::server const* fresh);
  /// Passes on what a snapshot changes, so that no node has to read it, too.
  void relay_snapshot(kv::range_answer const& all, std::vector<directory::server> const& fresh);

  platform_adapter& adapter_;
  directory::server_directory& servers_;
  relay::watch_relay relay_;
  relay::relayed_store store_;
  std::shared_ptr<kv::follower> follower_;
  bool owner_ = false;
};

}  // namespace frostline::gateway
