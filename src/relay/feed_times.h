/// @file Times that the parts of a record feed share.
#pragma once

#include "base/time.h"

namespace frostline::relay {

/// A question waits that long at a relay, and a relay that is silent beyond the margin has failed:
/// under a second, half of what the strictest deployment allows a change to be in force.
inline constexpr milliseconds k_wait{700};
inline constexpr milliseconds k_margin{250};
/// Relays of which none is sure of the servers, and of all else they are, are trusted to find
/// another source for that long: an owner that does not answer (0.95 s) and a list of the store.
inline constexpr milliseconds k_servers_patience{3000};
/// Nodes whose relay was lost read servers' records themselves this far apart.
inline constexpr milliseconds k_servers_spread{9000};

}  // namespace frostline::relay
