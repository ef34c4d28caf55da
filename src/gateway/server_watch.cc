#include "gateway/server_watch.h"

namespace frostline::gateway {
namespace {

/// Changes are read together; with the time in which a lost relay is noticed, far below that in
/// which a leaving server must get nothing more.
constexpr milliseconds k_pause{400};
constexpr milliseconds k_owners_pause{60};

}  // namespace

server_watch::server_watch(asio::io_context& context, platform_adapter& adapter,
                           http::client& transport, pools const& owners,
                           directory::server_directory& servers)
    : adapter_(adapter),
      servers_(servers),
      relay_(context, [&owners] { return owners.confirmed_as_owner(); }),
      store_(adapter.store(), transport, [&owners] { return owners.other_owner(); }) {
  kv::follower_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) { take_all(all); };
  callbacks.event = [this](kv::watch_event const& event) { take_one(event); };
  follower_ = std::make_shared<kv::follower>(context, store_, adapter_.keys().servers_prefix,
                                             std::move(callbacks), kv::follower_options{k_pause});
}

void server_watch::set_owner(bool owner) {
  if (owner == owner_) return;
  owner_ = owner;
  follower_->set_pause(owner ? k_owners_pause : k_pause);
  // Whoever passes changes on must not wait for the node that did so before.
  if (owner) follower_->watch_again();
}

void server_watch::add_methods(rpc::dispatcher& methods) {
  methods.add<rpc::WatchCallT, rpc::WatchReplyT>(
      "RelayService", "Watch",
      [this](rpc::WatchCallT call) -> awaitable<rpc::reply<rpc::WatchReplyT>> {
        relay_.history().advance(follower_->at());
        co_return co_await relay_.watch(call);
      });
}

void server_watch::take_all(kv::range_answer const& all) {
  std::vector<directory::server> servers;
  for (kv::key_value const& one : all.entries) {
    auto parsed = adapter_.parse_server(one.key, one.value);
    if (parsed) servers.push_back(std::move(*parsed));
  }
  servers_.replace_all(std::move(servers));
  relay_.history().reset(all.store_revision);
  relay_.notify();
}

void server_watch::take_one(kv::watch_event const& event) {
  relay_.history().add(event);
  relay_.notify();
  if (event.deleted) {
    servers_.remove(event.entry.key.substr(adapter_.keys().servers_prefix.size()));
    return;
  }
  auto parsed = adapter_.parse_server(event.entry.key, event.entry.value);
  if (parsed) servers_.put(std::move(*parsed));
}

}  // namespace frostline::gateway
