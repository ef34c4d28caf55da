/// @file Sends and receives the membership table's messages over UDP.
#pragma once

#include "base/asio.h"
#include "base/endpoint.h"
#include "membership/table.h"

namespace frostline::membership {

/// Traffic counters since the start of the process.
struct gossip_traffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed = 0;
};

class gossip_service {
 public:
  gossip_service(asio::io_context& context, table& members)
      : context_(context), table_(members), socket_(context) {}

  /// Binds the socket and starts the protocol. Returns an error text, or an empty one on success.
  std::string start(endpoint const& where);
  /// Announces to peers that this node is leaving.
  void announce_leave();
  void stop();
  gossip_traffic const& traffic() const { return traffic_; }

 private:
  awaitable<void> receive_loop();
  awaitable<void> tick_loop();
  void send(std::vector<outgoing_message> const& messages);

  asio::io_context& context_;
  table& table_;
  udp::socket socket_;
  gossip_traffic traffic_;
};

}  // namespace frostline::membership
