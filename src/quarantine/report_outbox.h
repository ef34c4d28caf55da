/// @file Crash evidence seen by this node, and how much of it each collector has acknowledged. No
/// I/O; reads no clock.
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

struct crash_report {
  std::vector<crash> evidence;
  /// Number of the last crash in the report; 0 if the report is empty.
  std::uint64_t last_number = 0;
};

class report_outbox {
 public:
  /// Limit of crashes kept for collectors, also for nodes that become collectors later; beyond it
  /// the oldest is dropped.
  static constexpr std::size_t k_max_entries = 512;
  /// Limit of crashes in one report.
  static constexpr std::size_t k_max_report_size = 64;

  void add(crash event);
  /// Drops the evidence against a request that a server answered.
  void clear(fingerprint const& request);

  /// Drops evidence of crashes at `before` or earlier.
  void expire(time_point before);

  /// Evidence that this collector has not acknowledged yet, oldest first, up to k_max_report_size.
  crash_report next_report(endpoint const& collector) const;
  bool has_pending(endpoint const& collector) const;
  /// Notes that a collector acknowledged a report.
  /// @param incarnation of the collector's process. If it differs from the previous one, the
  /// collector was restarted and needs all evidence again.
  void note_reported(endpoint const& collector, std::string const& incarnation,
                     std::uint64_t last_number);
  bool empty() const { return entries_.empty(); }
  /// Drops the state of nodes that are no longer collectors.
  void retain_collectors(std::vector<endpoint> const& collectors);

 private:
  struct numbered_crash {
    std::uint64_t number = 0;
    crash event;
  };
  struct collector_state {
    std::string incarnation;
    std::uint64_t reported_up_to = 0;
  };

  std::uint64_t reported_up_to(endpoint const& collector) const;

  std::deque<numbered_crash> entries_;
  std::map<endpoint, collector_state> collectors_;
  std::uint64_t next_number_ = 1;
};

}  // namespace frostline::quarantine
