/// @file HTTP/1.1 client with a connection pool per endpoint.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/errc.h"
#include "http/message.h"
#include "http/request_stream.h"

namespace frostline::http {

/// Bytes sent and received since the start.
struct byte_count {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Selects the connection for a request.
enum class connection_use {
  /// A pooled connection may be used; the peer may close that connection before it reads the
  /// request.
  pooled,
  /// A new connection is used for this request only, so a failed connect proves that the request
  /// was not run.
  fresh,
};

/// Receives the chunks of a streamed body. @return false to abort the stream.
using body_sink = std::function<bool(std::string_view)>;

/// A connection returns to its pool only after a complete response; after a timeout or an error it
/// is reset, so that a request that was given up does not reach the peer later.
class client {
 public:
  explicit client(asio::io_context& context, std::size_t answer_limit = 64 * 1024 * 1024)
      : context_(context), answer_limit_(answer_limit) {}

  /// Sends a request and reads the complete response, or fails with errc.
  /// @param timeout covers connect, request and response.
  awaitable<result<response>> exchange(endpoint peer_endpoint, request message,
                                       milliseconds timeout,
                                       connection_use use = connection_use::pooled);

  /// Sends a request and passes the body of the response to `sink` as it arrives.
  /// @param idle_timeout longest time to connect, to send the request and receive the headers, and
  /// between two chunks.
  /// @return the response once it is complete, or errc, which is exchange_failed if `sink` aborts
  /// the stream. The response's body is empty unless the status is not 200; in that case `sink` is
  /// not called.
  awaitable<result<response>> stream(endpoint peer_endpoint, request message,
                                     milliseconds idle_timeout, body_sink sink);

  byte_count const& traffic() const { return traffic_; }

 private:
  using connection = std::unique_ptr<request_stream>;

  awaitable<result<connection>> connect(endpoint const& peer_endpoint, milliseconds timeout);
  connection take_pooled(endpoint const& peer_endpoint);
  void return_to_pool(endpoint const& peer_endpoint, connection stream);
  /// Converts a failure of an exchange to errc. After a timeout all pooled connections to the
  /// endpoint are closed, since they may be dead too and each would cost another timeout.
  std::error_code note_failure(endpoint const& peer_endpoint, beast::error_code const& failure);

  asio::io_context& context_;
  std::size_t answer_limit_;
  std::map<endpoint, std::deque<connection>> pool_;
  byte_count traffic_;
};

}  // namespace frostline::http
