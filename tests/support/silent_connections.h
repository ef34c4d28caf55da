/// @file Makes open TCP connections permanently silent, like a firewall that dropped their state:
/// the kernel discards incoming segments without an acknowledgment or a reset. New connections
/// work.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>

#include "base/asio.h"

namespace frostline::testing {

using connection_filter =
    std::function<bool(tcp::endpoint const& local, tcp::endpoint const& peer)>;

/// Silences the side of `process` of each open connection for which `chosen` returns true.
/// @param process the calling process or one of its children.
/// @return number of silenced connections.
std::size_t silence_connections(pid_t process, connection_filter const& chosen);

}  // namespace frostline::testing
