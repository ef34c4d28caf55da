/// @file Header handling of forwarded messages. No I/O.
#pragma once

#include "http/message.h"

namespace frostline::calls {

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1), including those that Connection names.
void strip_hop_by_hop(http::bhttp::fields& headers);

/// Returns true if the answer is an event stream.
bool has_events(http::response const& head);

}  // namespace frostline::calls
