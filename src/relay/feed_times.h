/// @file Timeouts shared by the files of the record feed.
#pragma once

#include "base/time.h"

namespace frostline::relay {

/// How long a poll waits at a relay for a change, and how much later its reply may arrive before
/// the relay counts as failed. Together under a second: half of the two seconds in which a change
/// must take effect everywhere.
inline constexpr milliseconds k_poll_wait{700};
inline constexpr milliseconds k_answer_margin{250};
/// How long relays that are authoritative for all topics but the servers are given to find another
/// source of servers' records: an unresponsive pool owner (0.95 s) and then a list from the store.
inline constexpr milliseconds k_servers_timeout{3000};
/// Spreads the reads of servers' records by nodes that have lost their relay.
inline constexpr milliseconds k_servers_jitter{9000};

}  // namespace frostline::relay
