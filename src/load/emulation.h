/// @file The `hollow` commands: emulate large systems, with many complete nodes or many engines in
/// one process over real sockets.
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace frostline::load {

struct emulation_options {
  endpoint kv;
  endpoint machines;
  /// Address that serves `GET /report`. The nodes and engines listen on other ports of its IP
  /// address, which no other process should use.
  endpoint control;
  /// Nodes or engines in this process.
  std::uint32_t count = 1;
  /// Names are numbered from here: with 5, the first node is node-5, or the first engine engine-5.
  std::uint32_t first = 0;
  std::string zone;
  /// Number of zones over which the engines are spread.
  std::uint32_t zones = 1;
  /// Parent of the disk nodes' data folders; empty for none.
  std::string data_folder;
  std::uint32_t disk_nodes = 0;
  /// Slots per engine.
  std::uint32_t slots = 8;
};

/// Runs nodes until the process is stopped. `GET /report` returns sums, minimums and maximums of
/// their counters, and the CPU time of their thread. @return exit code.
int run_emulated_nodes(emulation_options const& options);

/// Runs engines until the process is stopped. @return exit code.
int run_emulated_engines(emulation_options const& options);

}  // namespace frostline::load
