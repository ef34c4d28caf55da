/// @file HTTP/1.1 server with one coroutine per connection, which handles its requests in order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/message.h"

namespace frostline::http {

/// Limits on the size, speed and number of requests and connections.
struct server_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 16 * 1024 * 1024;
  /// Longest time from the first byte of a request to its last.
  milliseconds read_timeout{10'000};
  /// Longest time that an idle connection is kept open.
  milliseconds idle_timeout{60'000};
  /// Maximum number of open connections; further ones are closed when accepted.
  std::size_t connections = 4096;
};

/// Connections of a server at one moment, by what they wait for.
struct connection_counts {
  /// Established by the kernel and not accepted.
  std::size_t queued = 0;
  /// Accepted; no request has been read on them.
  std::size_t first_request = 0;
  /// Kept open after an answer.
  std::size_t next_request = 0;
  /// A part of a request has been read.
  std::size_t reading = 0;
  std::size_t answering = 0;
  /// Of those that wait for a request, connections with bytes that the process has not read.
  std::size_t unread = 0;
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

/// Accepts connections until `close_listener` or `abort`.
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

  /// Stops accepting connections; open ones are kept.
  void close_listener();

  /// Closes connections that wait for a request; those with a request in flight are kept.
  void close_idle();

  /// Closes the listener and every connection at once, as if the process had been killed.
  void abort();

  /// Number of requests in flight.
  std::size_t in_flight() const { return in_flight_; }

  connection_counts count_connections();

 private:
  struct connection;

  awaitable<void> accept_loop();
  awaitable<void> serve(std::shared_ptr<connection> peer);
  awaitable<bool> serve_request(connection& peer);
  awaitable<bool> answer_request(connection& peer, request message);
  awaitable<bool> send(connection& peer, response answer, bool keep_alive, unsigned version);

  asio::io_context& context_;
  server_limits limits_;
  handler on_request_;
  stream_handler on_stream_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<connection>> connections_;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
};

}  // namespace frostline::http
