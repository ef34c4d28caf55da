/// @file HTTP/1.1 server: one coroutine per connection, requests of a connection in their order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/message.h"

namespace frostline::http {

/// Limits on what a peer may send, and how slowly.
struct server_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 16 * 1024 * 1024;
  /// Time for one whole request to arrive, from its first byte.
  milliseconds read_timeout{10'000};
  /// Time for which an idle connection is kept.
  milliseconds idle_timeout{60'000};
  std::size_t connections = 4096;
};

/// Sends the answer to one request, piece by piece when it is a stream.
class stream_writer {
 public:
  virtual ~stream_writer() = default;
  /// Sends status and headers of a chunked answer. @return false if the peer is gone.
  virtual awaitable<bool> begin(response head) = 0;
  /// Sends one chunk. @return false if the peer is gone.
  virtual awaitable<bool> write(std::string chunk) = 0;
  /// Sends the final chunk; without it the connection is reset when the handler returns.
  virtual awaitable<bool> finish() = 0;
  /// Whether the peer has closed its side; only meaningful while streaming.
  virtual bool peer_gone() = 0;
};

/// Answers one request with a whole response.
using handler = std::function<awaitable<response>(request)>;
/// Answers one request as a stream. @return false if the plain handler shall answer it.
using stream_handler = std::function<awaitable<bool>(request const&, stream_writer&)>;

/// Accepts connections until `close_listener`; `drain` ends keep-alive politely.
class server {
 public:
  server(asio::io_context& context, server_limits limits, handler on_request,
         stream_handler on_stream = nullptr);
  ~server();

  /// Binds and listens. @return an error text; empty if it listens.
  std::string listen(endpoint const& where);

  /// Port that is bound, for listeners on port 0.
  std::uint16_t port() const;

  /// From now on each answer carries `Connection: close`.
  void drain();

  /// Stops accepting; connections go on.
  void close_listener();

  /// Closes connections that wait for a request; those in an exchange go on.
  void close_idle();

  /// Closes the listener and every connection at once, as the end of the process would.
  void abort();

  /// Requests that are being answered.
  std::size_t in_flight() const { return in_flight_; }

 private:
  struct connection;

  awaitable<void> accept_loop();
  awaitable<void> serve(std::shared_ptr<connection> peer);
  awaitable<bool> serve_one(connection& peer);
  awaitable<bool> answer_one(connection& peer, request message);
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
