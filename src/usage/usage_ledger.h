/// @file State of the node that reports usage: counts of each window by tenant, which nodes have
/// sent all their counts, and which windows are closed. No I/O; reads no clock. The caller keeps
/// the state in the record store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "schema/frostline_generated.h"

namespace frostline::usage {

/// Unix time in milliseconds.
using wall_time = std::int64_t;

struct ledger_options {
  milliseconds window{5000};
  /// Time after its end at which a window is closed even if counts of some nodes are missing.
  milliseconds max_wait{7000};
};

/// Summary of a closed window.
struct closed_window {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  /// Number of processes that the ledger was tracking.
  std::size_t nodes = 0;
  /// Nodes that had not sent all their counts.
  std::vector<std::string> missing;
  /// Time between the end of the window and its closing.
  milliseconds waited{0};
};

class usage_ledger {
 public:
  explicit usage_ledger(ledger_options options) : options_(options) {}

  /// Restores the state stored by a previous holder, or starts with the current window if `state`
  /// is null.
  /// @param own_clock this node's wall clock, used until nodes have sent theirs.
  void restore(rpc::UsageStateT const* state, wall_time own_clock, time_point now);
  rpc::UsageStateT state() const;

  /// Adds the counts of a node, ignoring entries that were counted before.
  /// @return the highest sequence counted for the sender's process.
  std::uint64_t add_counts(rpc::UsageCallT const& call, time_point now);

  /// Median of the nodes' wall clocks, advanced by the steady clock, so that a single wrong clock
  /// shifts no window.
  wall_time true_time(time_point now) const;

  /// Closes, in order, each ended window for which all nodes have sent their counts or the maximum
  /// wait is over.
  std::vector<closed_window> close_due(time_point now);

  /// Closed windows whose report is not yet acknowledged, oldest first.
  std::map<std::uint64_t, rpc::UsageWindowT> const& unreported() const { return unreported_; }
  void note_reported(std::uint64_t window) { changed_ |= unreported_.erase(window) > 0; }

  /// Returns true if the state differs from the stored one.
  bool is_changed() const { return changed_; }
  void note_stored() { changed_ = false; }
  void note_not_stored() { changed_ = true; }
  /// Requests whose counts arrived after their window was closed.
  std::uint64_t late() const { return late_; }

 private:
  using tenant_counts = std::map<std::string, std::uint64_t>;

  struct process {
    std::string node;
    /// Highest sequence counted.
    std::uint64_t counted_to = 0;
    /// All requests that began before this time have been counted; 0 before the first call.
    wall_time complete_to = 0;
    /// The process's wall clock minus the holder's steady clock, once received.
    std::optional<wall_time> offset;
    time_point last_heard_at{};
    bool left = false;
  };

  std::uint64_t window_of(wall_time when) const;
  wall_time end_of(std::uint64_t window) const;
  void count(rpc::RunCountT const& entry, wall_time began_at);
  /// Nodes that may still send counts of requests that began before `when`.
  std::set<std::string> incomplete_at(wall_time when) const;
  void expire_silent_processes(time_point now);
  closed_window close(std::uint64_t window, wall_time true_now);

  ledger_options options_;
  std::uint64_t first_open_ = 0;
  std::map<std::uint64_t, tenant_counts> open_;
  std::map<std::uint64_t, rpc::UsageWindowT> unreported_;
  /// By incarnation of the process.
  std::map<std::string, process> processes_;
  /// Offset of this node's own clock, used until a process has sent one.
  wall_time own_offset_ = 0;
  bool changed_ = false;
  std::uint64_t late_ = 0;
};

}  // namespace frostline::usage
