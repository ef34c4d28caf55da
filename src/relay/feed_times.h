/// @file Timeouts shared by the files of the record feed.
#pragma once

#include "base/time.h"

namespace frostline::relay {

/// How long the polled node may wait for a change before it replies. With the margin for the reply
/// under a second, half of what the strictest deployment allows a change to take.
inline constexpr milliseconds k_poll_wait{700};
/// Time allowed beyond the wait for the reply to arrive; after that the polled node counts as
/// failed.
inline constexpr milliseconds k_answer_margin{250};
/// How long a node accepts answers that are authoritative for all topics except the servers, so
/// that its relay can find another source of servers' records: an owner that does not answer (0.95
/// s) and a list of the store.
inline constexpr milliseconds k_servers_timeout{3000};
/// Maximum additional wait before a node that has lost its relay reads servers' records itself.
inline constexpr milliseconds k_servers_jitter{9000};

}  // namespace frostline::relay
