/// @file The connections of an HTTP server, by what they wait for, and their end in a planned stop.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <set>

#include "base/asio.h"
#include "http/listener.h"
#include "http/message.h"
#include "http/response_reader.h"

namespace frostline::http {

/// Time that a planned end takes when no request is in flight.
inline constexpr milliseconds k_shutdown_time{500};

/// Largest buffer of a connection on which no request is being read.
inline constexpr std::size_t k_idle_buffer_bytes = 16 * 1024;

/// What a connection waits for.
enum class connection_phase {
  /// Accepted; no request has been read.
  first_request,
  /// Kept open after an answer.
  next_request,
  /// A part of a request has been read.
  reading,
  /// A whole request has been read.
  answering,
  /// The client was told that no further request is read; what it sends is discarded.
  closing,
};
inline constexpr std::size_t k_connection_phases = 5;

/// One connection of a server.
struct served_connection {
  explicit served_connection(tcp::socket socket) : stream(std::move(socket)) {}

  bool waits_for_request() const {
    return phase == connection_phase::first_request || phase == connection_phase::next_request;
  }

  beast::tcp_stream stream;
  /// Bytes that have been read and not parsed.
  beast::flat_buffer buffer{k_max_unparsed_bytes};
  connection_phase phase = connection_phase::first_request;
  /// When the phase began.
  time_point since = boot_clock::now();
  /// The connection ends unless the kernel already holds bytes of a request, or, if its read was
  /// cancelled, unless it has a whole request.
  bool ends_when_unused = false;
};

/// What a planned stop has done with a server's connections.
struct shutdown_report {
  /// Connections that the kernel had established and that were accepted while the listener closed.
  std::size_t accepted_last = 0;
  /// Connections on which no request had been read when the listener was closed.
  std::size_t awaited = 0;
  /// Connections that were closed unused, with status 408.
  std::size_t closed_unused = 0;
  /// Of these, connections on which a request crossed the 408. It was not run.
  std::size_t crossed = 0;
  /// Connections that ended although a request was being read or answered on them.
  std::size_t cut = 0;
};

/// Open connections of a server. Not thread-safe.
///
/// A connection that a server closes without an answer leaves its client in doubt whether a request
/// that it has just sent was run. Unused connections are therefore closed with status 408, which
/// RFC 9110 (15.5.9) defines for this: a request in transit has not been run and may be repeated.
class connection_set {
 public:
  /// @param closing_notice response with status 408 that is sent on connections closed unused.
  explicit connection_set(response closing_notice) : closing_notice_(std::move(closing_notice)) {}

  void add(std::shared_ptr<served_connection> peer);
  void remove(std::shared_ptr<served_connection> const& peer);
  std::size_t size() const { return connections_.size(); }
  std::size_t count(connection_phase phase) const { return counts_[index_of(phase)]; }
  void enter(served_connection& peer, connection_phase phase);

  /// Makes room for a new connection. At the limit, the connection that has waited longest for a
  /// request is closed with status 408; if none has waited for a while, the one that has been
  /// reading a request for longest. A quarter of the limit more may be open while such connections
  /// end.
  /// @return false if all connections have a whole request or end already.
  bool make_room(std::size_t limit);
  /// Number of connections closed to make room.
  std::uint64_t evicted() const { return evicted_; }

  /// Waits for the first bytes of a request and reads them; the connection then is in phase
  /// `reading`.
  /// @param idle_timeout time after which the connection is closed unused.
  /// @return false if the client has left or the connection was closed unused.
  awaitable<bool> wait_for_request(served_connection& peer, milliseconds idle_timeout);

  /// Returns true if the read of a request ended because its connection makes room for another.
  static bool is_evicted(served_connection const& peer, beast::error_code const& failure);
  /// Closes a connection with status 408, unless its client has closed it.
  awaitable<void> close_unused(served_connection& peer);

  /// Frees the buffer of a connection whose request is refused; the refusal is the last answer on
  /// it.
  void begin_closing(served_connection& peer);

  /// Ends the sending side and discards what the client still sends, until it closes the connection
  /// or a short time has passed. Closing at once would reset the connection, and the client might
  /// not read the answer.
  awaitable<void> linger(served_connection& peer);

  /// Planned end: closes the listener, serves requests that clients have already sent, and closes
  /// all other connections with status 408. Clients that have connected and sent nothing get a
  /// short time to do so. Returns once no connection is left, at the latest at `deadline`.
  awaitable<shutdown_report> shut_down(listener& source, time_point deadline);

  /// Closes all sockets at once.
  void abort();

 private:
  static std::size_t index_of(connection_phase phase) { return static_cast<std::size_t>(phase); }
  /// Returns the open connection that has been in one of these phases for longest, but none that
  /// waits and was told to end; null if there is none.
  served_connection* find_oldest(std::initializer_list<connection_phase> phases) const;
  /// Closes a connection that was told to end, before its client has read why.
  void abort_oldest_closing();
  /// @return true if anything was received.
  awaitable<bool> discard_input(served_connection& peer);

  response closing_notice_;
  std::set<std::shared_ptr<served_connection>> connections_;
  std::array<std::size_t, k_connection_phases> counts_{};
  std::uint64_t evicted_ = 0;
  shutdown_report report_;
};

}  // namespace frostline::http
