/// @file Hollow systems: many whole nodes, or many engines, in one process over real sockets, so
/// that one machine can hold the control side of hundreds.
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace frostline::load {

struct hollow_options {
  endpoint kv;
  endpoint machines;
  /// Where this process answers `GET /report`; its nodes and engines take ports of that address,
  /// which no other process should use.
  endpoint control;
  /// Nodes or engines in this process.
  std::uint32_t count = 1;
  /// Number of the first, for names.
  std::uint32_t first = 0;
  std::string zone;
  /// Zones over which engines are spread.
  std::uint32_t zones = 1;
  /// Nodes with a data folder below this; empty for none.
  std::string data_folder;
  std::uint32_t disk_nodes = 0;
  /// Slots of an engine.
  std::uint32_t slots = 8;
};

/// Runs nodes until the process is ended. `GET /report` answers the sums, lowest and highest of
/// their counters, and the CPU time of the thread that runs them. @return exit code.
int run_hollow_nodes(hollow_options const& options);

/// Runs engines until the process is ended. @return exit code.
int run_hollow_engines(hollow_options const& options);

}  // namespace frostline::load
