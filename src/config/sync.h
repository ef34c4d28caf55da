/// @file Keeps the configuration store up to date through a watch on the key-value service, and
/// from peers that gossip a higher revision.
#pragma once

#include <functional>

#include "base/asio.h"
#include "config/store.h"
#include "http/client.h"
#include "kv/client.h"
#include "membership/table.h"
#include "rpc/problem.h"

namespace frostline::config {

class sync {
 public:
  sync(asio::io_context& context, kv::client& service, http::client& transport,
       membership::table& members, store& target);

  void start();
  /// Adds a listener that is called after each change of the store.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }
  /// Applies an entry that is known to be committed in the key-value service, without waiting for
  /// the watch.
  void apply_committed(entry const& written);
  /// Returns the entries that are newer than the revision in a peer's FetchConfig request. The
  /// response is empty if the store is not complete.
  rpc::FetchConfigResponseT handle_fetch(rpc::FetchConfigRequestT const& request) const;
  /// Returns the time since the key-value service last replied to this node or, according to
  /// gossip, to another node.
  milliseconds kv_age(time_point now) const;

 private:
  awaitable<void> watch_loop();
  awaitable<void> peer_loop();
  awaitable<bool> read_snapshot();
  awaitable<void> fetch_from_peer(std::string address);
  bool apply_watch_batch(kv::watch_batch const& batch);
  std::string select_peer() const;
  void notify();

  asio::io_context& context_;
  kv::client& service_;
  http::client& transport_;
  membership::table& members_;
  store& store_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace frostline::config
