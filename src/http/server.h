/// @file HTTP/1.1 server with one coroutine per connection, which handles its requests in order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/connection_set.h"
#include "http/listener.h"
#include "http/message.h"
#include "http/request_memory.h"

namespace frostline::http {

/// Limits on the size, speed and number of requests and connections.
struct server_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 16 * 1024 * 1024;
  /// Memory that the bodies of all requests take at once; a larger body is over the limit. 0: that
  /// of eight bodies of the largest size.
  std::size_t request_memory_bytes = 0;
  /// Longest time from the first byte of a request to its last, and to write an answer, or a chunk
  /// of one.
  milliseconds read_timeout{10'000};
  /// Longest time that an idle connection is kept open.
  milliseconds idle_timeout{60'000};
  /// Maximum number of open connections. At the limit, connections without a whole request make
  /// room for new ones.
  std::size_t connections = 4096;
};

/// Sends a chunked response to one request.
class stream_writer {
 public:
  virtual ~stream_writer() = default;
  /// Sends status and headers. @return false if the write failed.
  virtual awaitable<bool> begin(response head) = 0;
  /// Sends one chunk. @return false if the write failed.
  virtual awaitable<bool> write(std::string chunk) = 0;
  /// Sends the final chunk. Without it the connection is closed when the handler returns.
  virtual awaitable<bool> finish() = 0;
  /// Returns true if the peer has closed the connection. Valid only while streaming.
  virtual bool peer_gone() = 0;
};

/// Returns the complete response to a request.
using handler = std::function<awaitable<response>(request)>;
/// Streams the response to a request. @return false to let the plain handler respond instead.
using stream_handler = std::function<awaitable<bool>(request const&, stream_writer&)>;

/// Accepts connections until `shut_down` or `abort`.
class server {
 public:
  server(asio::io_context& context, server_limits limits, handler on_request,
         stream_handler on_stream = nullptr);
  ~server();

  /// Binds and listens. @return an error message, or an empty string on success.
  std::string listen(endpoint const& listen_endpoint);

  /// Returns the bound port, which the kernel chooses for port 0.
  std::uint16_t port() const;

  /// Disables keep-alive: each connection is closed after its next response.
  void drain();

  /// Planned end, which cuts no request: see `connection_set::shut_down`. Requests in flight go on
  /// until `deadline`.
  awaitable<shutdown_report> shut_down(time_point deadline);

  /// Closes the listener and every connection at once, as if the process had been killed.
  void abort();

  /// Number of requests in flight.
  std::size_t in_flight() const { return connections_.count(connection_phase::answering); }

  /// Number of open connections.
  std::size_t connections() const { return connections_.size(); }

  http::request_memory const& memory() const { return memory_; }
  /// Number of connections closed to make room for others.
  std::uint64_t evicted() const { return connections_.evicted(); }

 private:
  void take_connection(tcp::socket socket);
  awaitable<void> serve(std::shared_ptr<served_connection> peer);
  awaitable<bool> serve_request(served_connection& peer);
  /// Answers a request that was not read as a whole, and ends the connection.
  awaitable<void> refuse(served_connection& peer, response refusal);
  awaitable<bool> answer_request(served_connection& peer, request message);
  awaitable<bool> send(served_connection& peer, response answer, bool keep_alive, unsigned version);

  asio::io_context& context_;
  server_limits limits_;
  handler on_request_;
  stream_handler on_stream_;
  listener listener_;
  connection_set connections_;
  request_memory memory_;
  bool draining_ = false;
};

}  // namespace frostline::http
