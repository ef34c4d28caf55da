/// @file Finding out connections that were closed while they rested, or have gone silent without a
/// reset: a firewall between has forgotten them, or the peer's machine is gone.
#pragma once

#include "base/asio.h"

namespace frostline::http {

/// Has the kernel probe a connection that rests: one that is dead ends with `timed_out` after 3 s,
/// and is not taken from a pool any more. Costs two packets a second on a connection that rests for
/// longer than a second, and no call.
void enable_keepalive_probes(tcp::socket& socket);

/// Ends the connection with `timed_out` if what is written from now on stays unacknowledged for
/// about this long. Only for what may be sent again: a link that is slower than this breaks it.
void set_acknowledgement_timeout(tcp::socket& socket, milliseconds patience);

/// Whether a connection that rests may carry a request. One that has become readable was closed by
/// the peer, or holds bytes that answer nothing.
bool is_reusable(tcp::socket& socket);

}  // namespace frostline::http
