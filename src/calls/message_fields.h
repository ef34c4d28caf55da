/// @file What a forwarded message's headers say, and which of them are not passed on. Pure.
#pragma once

#include "http/message.h"

namespace frostline::calls {

/// Removes headers that concern one connection (RFC 9110, 7.6.1), those that Connection names too.
void strip_hop_by_hop(http::bhttp::fields& headers);

/// Whether an answer comes in events, one by one.
bool has_events(http::response const& head);

}  // namespace frostline::calls
