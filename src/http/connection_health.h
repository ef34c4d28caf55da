/// @file Detects connections that were closed while idle, or that died without a reset because a
/// firewall dropped their state or the peer's machine failed.
#pragma once

#include "base/asio.h"

namespace frostline::http {

/// Enables TCP keepalive: an idle connection that is dead fails with `timed_out` after 3 s, so that
/// it is not taken from a pool. Costs two packets per second on each idle connection.
void enable_keepalive_probes(tcp::socket& socket);

/// Sets TCP_USER_TIMEOUT: the connection fails with `timed_out` if written data stays
/// unacknowledged for about `timeout`. Use it only for requests that may be retried, since a slow
/// link also triggers it.
void set_acknowledgement_timeout(tcp::socket& socket, milliseconds timeout);

/// Returns the number of connections that the kernel has established for a listening socket and the
/// process has not accepted; 0 if the kernel does not tell.
std::size_t listen_queue_length(tcp::acceptor& acceptor);

/// Returns the number of bytes that the kernel holds for this process; 0 if the socket is closed.
std::size_t unread_bytes(tcp::socket const& socket);

/// Returns true if an idle connection may carry another request. A readable idle connection was
/// closed by the peer or holds unexpected data.
bool is_reusable(tcp::socket& socket);

}  // namespace frostline::http
