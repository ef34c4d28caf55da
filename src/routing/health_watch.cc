#include "routing/health_watch.h"

#include <algorithm>

#include "base/encoding.h"
#include "http/json_fields.h"

namespace frostline::routing {
namespace {

constexpr milliseconds k_interval{500};
constexpr milliseconds k_timeout{1000};

}  // namespace

std::vector<std::string> watchers_of(std::string const& server, membership::table const& members) {
  std::vector<std::string> nodes = {members.self().id};
  for (auto const& [id, peer] : members.members()) {
    if (peer.is_alive()) nodes.push_back(id);
  }
  std::sort(nodes.begin(), nodes.end(), [&](std::string const& left, std::string const& right) {
    return rendezvous_weight(server, left) > rendezvous_weight(server, right);
  });
  if (nodes.size() > k_watchers_per_server) nodes.resize(k_watchers_per_server);
  return nodes;
}

void health_watch::start() { spawn(context_, watch_loop()); }

awaitable<void> health_watch::watch_loop() {
  while (true) {
    for (auto const& [id, machine] : machines_.machines()) {
      if (machine.kind != machines::machine_kind::app) continue;
      auto const watchers = watchers_of(id, members_);
      bool const is_watcher =
          std::find(watchers.begin(), watchers.end(), members_.self().id) != watchers.end();
      if (is_watcher) spawn(context_, check_health(machine));
    }
    co_await wait_for(k_interval);
  }
}

awaitable<void> health_watch::check_health(machines::machine server) {
  auto answer = co_await transport_.exchange(server.address, http::make_get("/healthz"), k_timeout);
  if (!answer) co_return;
  auto const body = parse_json_object(answer.value().body());
  bool const leaving = body && json_flag(*body, "leaving");
  if (leaving) members_.spread_leaving(server.id, server.incarnation);
}

}  // namespace frostline::routing
