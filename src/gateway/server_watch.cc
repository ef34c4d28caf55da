#include "gateway/server_watch.h"

#include <set>

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
  // Whoever passes changes on must not wait for the node that did so before, and an owner needs the
  // versions of weights, which are not passed on.
  if (owner) follower_->resynchronize();
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
  relay_snapshot(all, servers);
  servers_.replace_all(std::move(servers));
}

void server_watch::relay_snapshot(kv::range_answer const& all,
                                  std::vector<directory::server> const& fresh) {
  relay::change_history& history = relay_.history();
  if (history.at() == 0) {
    history.reset(all.store_revision);
    return;
  }
  std::string const& prefix = adapter_.keys().servers_prefix;
  std::set<std::string> listed;
  for (directory::server const& one : fresh) listed.insert(prefix + one.id);
  for (kv::key_value const& entry : all.entries) {
    auto const parsed = adapter_.parse_server(entry.key, entry.value);
    if (parsed) relay_change({false, entry}, &*parsed);
  }
  for (auto const& [id, known] : servers_.servers()) {
    if (listed.contains(prefix + id)) continue;
    kv::watch_event gone;
    gone.deleted = true;
    gone.entry.key = prefix + id;
    gone.entry.mod_revision = all.store_revision;
    history.add(gone);
  }
  history.advance(all.store_revision);
  relay_.notify();
}

void server_watch::relay_change(kv::watch_event const& event, directory::server const* fresh) {
  relay::change_history& history = relay_.history();
  directory::server const* known = fresh == nullptr ? nullptr : servers_.find(fresh->id);
  bool const alike = known != nullptr && directory::serve_alike(*known, *fresh);
  if (alike) {
    history.advance(event.entry.mod_revision);
    return;
  }
  history.add(event);
  relay_.notify();
}

void server_watch::take_one(kv::watch_event const& event) {
  if (event.deleted) {
    relay_change(event, nullptr);
    servers_.remove(event.entry.key.substr(adapter_.keys().servers_prefix.size()));
    return;
  }
  auto parsed = adapter_.parse_server(event.entry.key, event.entry.value);
  if (!parsed) return;
  relay_change(event, &*parsed);
  servers_.put(std::move(*parsed));
}

}  // namespace frostline::gateway
