/// @file What one node tells another about a server that it has measured to be slow.
#pragma once

#include <string>

#include "base/time.h"

namespace frostline::balancing {

struct slow_server {
  /// Identifier of the server's incarnation in the server directory.
  std::string id;
  /// Time that the server takes for an answer, divided by the typical time of its service.
  double pace = 1.0;
  /// Time since the newest measurement behind `pace`.
  milliseconds age{0};
};

}  // namespace frostline::balancing
