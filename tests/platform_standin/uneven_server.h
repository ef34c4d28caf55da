/// @file How a stand-in of a server is slow, fails part of its requests and reports its load.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"

namespace frostline::testing {

/// none: no report. correct: the server's load. malformed: not four numbers, a different error in
/// each report. huge: values beyond all limits. negative: negative values. late: the load at the
/// previous report. wrong: idle with a percentage of 1 while the server is busy, and full while it
/// is idle.
enum class load_report_kind { none, correct, malformed, huge, negative, late, wrong };

struct uneven_faults {
  /// Factor by which work takes longer.
  double work_factor = 1;
  /// Every n-th request fails; 0 for none. A request fails at most once at the same server, so that
  /// a caller with several attempts gets an answer.
  std::uint32_t fails_every = 0;
  /// If not 0, the server is slow for this time, then fails part of its requests for this time, and
  /// so on.
  milliseconds alternates_every{0};
  load_report_kind reports = load_report_kind::none;
};

struct server_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /// Duration of work, in percent of the usual one.
  std::uint32_t percent = 100;
};

/// Decides what happens to the requests of one server.
class uneven_server {
 public:
  /// Returns the factor by which work that starts now takes longer.
  static double work_factor(uneven_faults const& faults, time_point now);
  /// Counts a request. Returns true if it must fail.
  bool fails(uneven_faults const& faults, std::string const& request, time_point now);
  /// Returns the value of the load report header; nothing for no header.
  std::optional<std::string> report(uneven_faults const& faults, server_load const& load);

 private:
  std::uint64_t requests_ = 0;
  std::set<std::string> failed_;
  server_load previous_load_;
  std::size_t malformed_reports_ = 0;
};

}  // namespace frostline::testing
