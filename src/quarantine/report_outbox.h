/// @file Evidence that this node has seen, and how much of it each collector was told. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "quarantine/suspect_table.h"

namespace frostline::quarantine {

/// What one report holds.
struct crash_report {
  std::vector<crash> evidence;
  /// Number of the last piece of evidence in it.
  std::uint64_t up_to = 0;
};

class report_outbox {
 public:
  /// Evidence that is kept for collectors that begin later; a node of the largest deployment
  /// measured has some 90 requests under way.
  static constexpr std::size_t k_most_entries = 512;
  static constexpr std::size_t k_most_in_report = 64;

  void add(crash one);
  /// A server answered the request: nothing more of it is told.
  void clear(fingerprint const& request);

  /// Drops evidence of this time and earlier.
  void expire(time_point before);

  /// What this collector was not told yet, the oldest first.
  crash_report next_report(endpoint const& collector) const;
  bool has_pending(endpoint const& collector) const;
  /// The collector took a report.
  /// @param incarnation of its process; another than before knows nothing of earlier reports.
  void note_told(endpoint const& collector, std::string const& incarnation, std::uint64_t up_to);
  bool empty() const { return entries_.empty(); }
  /// Forgets collectors that are none any more.
  void keep_collectors(std::vector<endpoint> const& collectors);

 private:
  struct numbered_crash {
    std::uint64_t number = 0;
    crash what;
  };
  struct collector_state {
    std::string incarnation;
    std::uint64_t told_to = 0;
  };

  std::uint64_t told_to(endpoint const& collector) const;

  std::deque<numbered_crash> entries_;
  std::map<endpoint, collector_state> collectors_;
  std::uint64_t next_number_ = 1;
};

}  // namespace frostline::quarantine
