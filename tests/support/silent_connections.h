/// @file Makes open TCP connections of processes go silent for good, as a firewall that has
/// forgotten them does: what arrives on them is dropped by the kernel, unacknowledged and without a
/// reset. New connections work.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>

#include "base/asio.h"

namespace frostline::testing {

using connection_filter =
    std::function<bool(tcp::endpoint const& local, tcp::endpoint const& peer)>;

/// Silences the end that `process` holds of each connection which is open now and for which
/// `chosen` is true. @param process this one, or a child. @return how many connections.
std::size_t silence_connections(pid_t process, connection_filter const& chosen);

}  // namespace frostline::testing
