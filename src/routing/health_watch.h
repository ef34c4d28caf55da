/// @file Polls the health of application servers. Each server is watched by a few nodes. When
/// a server reports that it is leaving, these nodes announce that to all others by gossip.
#pragma once

#include <string>
#include <vector>

#include "base/asio.h"
#include "http/client.h"
#include "machines/machine_list.h"
#include "membership/table.h"

namespace frostline::routing {

/// Number of nodes that watch each server.
inline constexpr std::size_t k_watchers_per_server = 2;

/// Returns the nodes that watch `server`: the live nodes with the highest rendezvous weight for
/// `server`.
std::vector<std::string> watchers_of(std::string const& server, membership::table const& members);

class health_watch {
 public:
  health_watch(asio::io_context& context, http::client& transport,
               machines::machine_list const& machines, membership::table& members)
      : context_(context), transport_(transport), machines_(machines), members_(members) {}

  void start();

 private:
  awaitable<void> watch_loop();
  awaitable<void> check_health(machines::machine server);

  asio::io_context& context_;
  http::client& transport_;
  machines::machine_list const& machines_;
  membership::table& members_;
};

}  // namespace frostline::routing
