/// @file HTTP/1.1 client with a pool of connections per endpoint.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/errc.h"
#include "http/message.h"

namespace frostline::http {

/// Bytes that passed through a client or server since its start.
struct byte_count {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// How a request may use connections.
enum class connection_use {
  /// A kept connection may serve; it may turn out closed after the request was written.
  pooled,
  /// A new connection serves this request only, so that a failed connect proves "not run".
  fresh,
};

/// Receives the pieces of a streamed body. @return false to give the stream up.
using body_sink = std::function<bool(std::string_view)>;

/// Sends requests, reads whole answers. A connection goes back to its pool only after a whole
/// answer; after a timeout or an error it is closed.
class client {
 public:
  explicit client(asio::io_context& context, std::size_t answer_limit = 64 * 1024 * 1024)
      : context_(context), answer_limit_(answer_limit) {}

  /// One exchange. @param timeout covers connect, request and answer.
  /// @return the whole answer, or errc.
  awaitable<result<response>> exchange(endpoint where, request message, milliseconds timeout,
                                       connection_use use = connection_use::pooled);

  /// One exchange whose answer's body goes to `sink` as it arrives. `idle_timeout` bounds the
  /// silence between pieces. @return the answer's head with an empty body (with the body if the
  /// status is not 200) once the stream has ended properly, or errc.
  awaitable<result<response>> stream(endpoint where, request message, milliseconds idle_timeout,
                                     body_sink sink);

  byte_count const& traffic() const { return traffic_; }

 private:
  using connection = std::unique_ptr<beast::tcp_stream>;

  awaitable<result<connection>> connect(endpoint const& where, milliseconds timeout);
  connection take_pooled(endpoint const& where);
  void give_back(endpoint const& where, connection stream);
  /// What an exchange failed of. One without an answer in time may have met a connection that has
  /// gone silent, and those that rest beside it may have, too: they are closed, so that ten dead
  /// connections cost one timeout and not ten.
  std::error_code note_failure(endpoint const& where, beast::error_code const& failure);

  asio::io_context& context_;
  std::size_t answer_limit_;
  std::map<endpoint, std::deque<connection>> pool_;
  byte_count traffic_;
};

}  // namespace frostline::http
