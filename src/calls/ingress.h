/// @file Accepts client connections, reads requests, detects disconnects and sends answers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "base/endpoint.h"
#include "calls/caller.h"
#include "calls/route_table.h"
#include "http/connection_set.h"
#include "http/listener.h"
#include "http/message.h"
#include "http/request_memory.h"

namespace frostline::calls {

/// Answers one request through its caller.
using request_handler = std::function<awaitable<void>(http::request, caller&)>;

class ingress {
 public:
  /// Memory for the bodies of all requests unless the owner chooses one, in bytes.
  static constexpr std::size_t k_default_request_memory = 64 * 1024 * 1024;

  /// @param request_memory_bytes memory that the bodies of all requests take at once. A larger body
  /// is over the limit.
  ingress(asio::io_context& context, request_handler on_request, std::size_t max_connections,
          std::size_t request_memory_bytes = k_default_request_memory);
  ~ingress();

  /// Binds and listens. @return an error message; empty on success.
  std::string listen(endpoint const& bind_address);
  std::uint16_t port() const;
  void set_limits(client_limits limits) { limits_ = limits; }
  /// Closes each connection after its next answer.
  void drain() { draining_ = true; }
  /// Planned end, which cuts no request: see `http::connection_set::shut_down`. Requests in flight
  /// go on until `deadline`.
  awaitable<http::shutdown_report> shut_down(time_point deadline);
  std::size_t in_flight() const { return connections_.count(http::connection_phase::answering); }
  http::request_memory const& memory() const { return memory_; }
  /// Number of connections closed to make room for others.
  std::uint64_t evicted() const { return connections_.evicted(); }

 private:
  class connection;

  void take_connection(tcp::socket socket);
  awaitable<void> serve(std::shared_ptr<connection> client);
  awaitable<bool> serve_one(std::shared_ptr<connection> client);
  /// Answers a request that was not read as a whole, and ends the connection.
  awaitable<void> refuse(connection& client, http::response refusal);

  asio::io_context& context_;
  request_handler on_request_;
  std::size_t max_connections_;
  client_limits limits_;
  http::listener listener_;
  http::connection_set connections_;
  http::request_memory memory_;
  bool draining_ = false;
};

}  // namespace frostline::calls
