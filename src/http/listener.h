/// @file Listening socket whose planned close resets no connection.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::http {

/// Time in which the kernel finishes handshakes that it has answered when a listener begins to
/// close; covers a round trip between regions.
inline constexpr milliseconds k_handshake_time{50};

/// Accepts connections and hands each to its owner. Not thread-safe.
class listener {
 public:
  using connection_handler = std::function<void(tcp::socket)>;

  /// @param component the owner's name in log lines.
  listener(asio::io_context& context, std::string_view component, connection_handler on_connection)
      : context_(context),
        component_(component),
        on_connection_(std::move(on_connection)),
        acceptor_(context) {}

  /// Binds and starts to accept. May be called again after an error.
  /// @return an error message; empty on success.
  std::string listen(endpoint const& listen_endpoint);

  /// Returns the bound port, which the kernel chooses for port 0.
  std::uint16_t port() const;

  /// Closes at once. The kernel resets connections that it has established and that have not been
  /// accepted; their clients can't tell whether a request that they sent has run.
  void close();

  /// Closes without resetting a connection: the kernel ignores new handshakes, connections that are
  /// established are accepted, then the socket closes. A client that begins a handshake meanwhile
  /// is refused when it repeats it, after a second with Linux.
  /// @return number of connections that waited to be accepted when the close began.
  awaitable<std::size_t> close_gracefully();

 private:
  awaitable<void> accept_loop();
  void accept_established();
  /// Hands a connection to the owner, or closes it if that fails.
  void take(tcp::socket socket);
  bool ignore_new_handshakes();

  asio::io_context& context_;
  std::string_view component_;
  connection_handler on_connection_;
  tcp::acceptor acceptor_;
};

}  // namespace frostline::http
