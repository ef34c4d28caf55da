/// @file Keeps the configuration store up to date: by a watch on the key-value service, and from
/// peers that gossip a higher revision while the service does not answer.
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
  /// Runs after each change of the store.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }
  /// For changes that this node made itself and knows to be stored.
  void apply_committed(entry const& written);
  /// Answers a peer's request.
  rpc::FetchConfigResponseT answer_peer(rpc::FetchConfigRequestT const& request) const;
  /// Age of the last sign, own or by gossip, that the key-value service answers.
  milliseconds kv_age(time_point now) const;

 private:
  awaitable<void> watch_loop();
  awaitable<void> peer_loop();
  awaitable<bool> read_snapshot();
  awaitable<void> fetch_from_peer(std::string address);
  bool take_batch(kv::watch_batch const& batch);
  std::string peer_to_ask() const;
  void notify();

  asio::io_context& context_;
  kv::client& service_;
  http::client& transport_;
  membership::table& members_;
  store& store_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace frostline::config
