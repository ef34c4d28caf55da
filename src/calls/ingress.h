/// @file Accepts client connections, reads requests, detects disconnects and sends answers.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "base/endpoint.h"
#include "calls/caller.h"
#include "calls/route_table.h"
#include "http/connection_health.h"
#include "http/message.h"

namespace frostline::calls {

/// Answers one request through its caller.
using request_handler = std::function<awaitable<void>(http::request, caller&)>;

class ingress {
 public:
  ingress(asio::io_context& context, request_handler on_request, std::size_t max_connections);
  ~ingress();

  /// Binds and listens. @return an error message; empty on success.
  std::string listen(endpoint const& bind_address);
  std::uint16_t port() const;
  void set_limits(client_limits limits) { limits_ = limits; }
  /// Closes each connection after its next answer.
  void drain() { draining_ = true; }
  void close_listener();
  std::size_t in_flight() const { return in_flight_; }
  /// Number of open connections.
  std::size_t connections() const { return connections_; }
  /// Number of connections that the kernel has established and this process has not accepted.
  std::size_t queued() { return acceptor_.is_open() ? http::listen_queue_length(acceptor_) : 0; }

 private:
  class connection;

  awaitable<void> accept_loop();
  awaitable<void> serve(std::shared_ptr<connection> client);
  awaitable<bool> serve_one(std::shared_ptr<connection> client);

  asio::io_context& context_;
  request_handler on_request_;
  std::size_t max_connections_;
  client_limits limits_;
  tcp::acceptor acceptor_;
  std::size_t connections_ = 0;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
};

}  // namespace frostline::calls
