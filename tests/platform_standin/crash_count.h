/// @file Counts the servers that ended under a poison request. Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::testing {

/// The arrival of a poison request at a server that ended under it.
struct poison_arrival {
  time_point at{};
  /// Incarnation of the server.
  std::string server;
};

/// Returns when the request arrived at the server that was the `number`th to end under it, counted
/// from 1; nullopt if fewer servers ended. A server that ended under several runs counts once.
/// @param arrivals in ascending order of time.
std::optional<time_point> time_of_crash(std::vector<poison_arrival> const& arrivals,
                                        std::size_t number);

}  // namespace frostline::testing
