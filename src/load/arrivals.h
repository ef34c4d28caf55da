/// @file Arrival times and contents of calls, drawn from a seed or read from a recorded trace.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::load {

/// One call of a trace.
struct arrival {
  /// Time since the start of the run.
  std::chrono::microseconds offset{0};
  /// True if the call must not run twice.
  bool at_most_once = false;
  /// Amount that the call's body carries.
  std::uint64_t amount = 0;

  bool operator==(arrival const&) const = default;
};

using trace = std::vector<arrival>;

struct arrival_options {
  double calls_per_second = 100;
  milliseconds duration{10'000};
  /// Share of calls that must not run twice.
  double at_most_once_share = 0.3;
  std::uint64_t seed = 1;
};

/// Draws Poisson arrivals; the same options give the same trace.
trace draw_arrivals(arrival_options const& options);

/// Writes one JSON object per line. @return false if the file could not be written.
bool write_trace(std::string const& path, trace const& calls);
/// @return nothing if the file can't be read or a line is malformed.
std::optional<trace> read_trace(std::string const& path);

}  // namespace frostline::load
