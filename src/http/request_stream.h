/// @file Connection on which a process sends requests to a peer.
#pragma once

#include <utility>

#include "base/asio.h"
#include "http/message.h"

namespace frostline::http {

/// TCP connection that carries requests to a peer, one at a time.
///
/// From the first byte of a request until `end_request`, a close resets the connection, whoever
/// closes it: its owner, a time limit of the stream, or the kernel when the process ends. After an
/// orderly close the kernel goes on sending what the peer has not acknowledged, so a peer that was
/// cut off would receive the request, and run it, long after it was given up. A reset drops these
/// bytes. Without a request under way the connection closes in order.
class request_stream : public beast::tcp_stream {
 public:
  explicit request_stream(asio::io_context& context) : beast::tcp_stream(context) {}
  /// @param connected connection on which no request has been sent.
  explicit request_stream(beast::tcp_stream connected) : beast::tcp_stream(std::move(connected)) {}

  /// Like the base class; the first bytes begin a request.
  template <class Buffers, class Token>
  auto async_write_some(Buffers const& buffers, Token&& token) {
    begin_request();
    return beast::tcp_stream::async_write_some(buffers, std::forward<Token>(token));
  }

  /// Notes that the peer answers the request that was sent, and so has received all of it. The
  /// kernel repeats the end of an orderly close until the peer has it, which it does not do for a
  /// reset: a peer that still works on its answer learns reliably that nobody waits for it.
  void end_request();

 private:
  void begin_request();
  void set_reset_on_close(bool enabled);

  bool has_request_ = false;
};

}  // namespace frostline::http
