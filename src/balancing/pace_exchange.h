/// @file Exchange of slow servers between nodes: what a poll reply holds, and which received
/// figures are valid. Performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "balancing/slow_server.h"
#include "schema/frostline_generated.h"

namespace frostline::balancing {

/// Most servers in one reply.
inline constexpr std::size_t k_max_slow_servers = 32;
/// Servers with a smaller pace are not passed on.
inline constexpr double k_min_sent_pace = 1.5;
/// Received paces outside these bounds are ignored.
inline constexpr double k_min_pace = 1.0;
inline constexpr double k_max_pace = 100.0;
/// Older measurements are neither passed on nor accepted.
inline constexpr milliseconds k_max_slow_server_age{4000};
/// Longer identifiers are neither passed on nor accepted, which bounds the size of a reply.
inline constexpr std::size_t k_max_server_id_bytes = 128;

/// Returns the table for a poll reply, or null if there is no server to send, so that the reply
/// does not grow. Drops entries with a pace that is not finite or below `k_min_sent_pace`, an
/// invalid age or an invalid identifier; a larger pace is sent as `k_max_pace`. Of several entries
/// of one server the newest is used. The slowest come first; at most `k_max_slow_servers` are sent.
std::unique_ptr<rpc::SlowServersT> encode_slow_servers(std::vector<slow_server> servers);

/// Returns the valid entries of a poll reply, the slowest first, at most `k_max_slow_servers`.
/// Whether a server is known is for the receiver to check.
/// @param received null if the answering node sent none or is of an earlier version.
/// @param under_way upper bound of the time since the reply was written; added to the ages.
std::vector<slow_server> decode_slow_servers(rpc::SlowServersT const* received,
                                             milliseconds under_way);

}  // namespace frostline::balancing
