/// @file What the node that reports usage knows of each window: counts by tenant, which nodes have
/// told all, which windows are closed. Pure; the record store keeps its state.
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

/// True time in milliseconds since 1970.
using wall_time = std::int64_t;

struct ledger_options {
  /// Length of a window.
  milliseconds window{5000};
  /// So long after its end a window is closed, whoever has not told all.
  milliseconds max_wait{7000};
};

/// Why a window was closed.
struct closed_window {
  std::uint64_t window = 0;
  std::uint64_t requests = 0;
  std::size_t nodes = 0;
  /// Nodes that had not told all of it.
  std::vector<std::string> missing;
  milliseconds waited{0};
};

class usage_ledger {
 public:
  explicit usage_ledger(ledger_options options) : options_(options) {}

  /// Begins anew with what a former holder has stored, or, without a state, with the present
  /// window.
  /// @param own_clock this node's time of day, believed until nodes have told theirs.
  void restore(rpc::UsageStateT const* state, wall_time own_clock, time_point now);
  rpc::UsageStateT state() const;

  /// Takes what a node counted; entries that are counted already are passed over.
  /// @return highest sequence that is counted.
  std::uint64_t take(rpc::UsageCallT const& call, time_point now);

  /// The middle of what the nodes' clocks say, carried on by the steady clock: a clock that is
  /// wrong or jumps moves no window.
  wall_time true_time(time_point now) const;

  /// Closes each window that is told by all nodes, or has waited for long enough.
  std::vector<closed_window> close_due(time_point now);

  /// Closed windows whose report is not known to have arrived, the oldest first.
  std::map<std::uint64_t, rpc::UsageWindowT> const& unreported() const { return unreported_; }
  void note_reported(std::uint64_t window) { changed_ |= unreported_.erase(window) > 0; }

  /// Whether the state differs from the one last stored.
  bool is_changed() const { return changed_; }
  void note_stored() { changed_ = false; }
  void note_not_stored() { changed_ = true; }
  /// Requests that came after their window was closed.
  std::uint64_t late() const { return late_; }

 private:
  using tenant_counts = std::map<std::string, std::uint64_t>;

  struct process {
    std::string node;
    std::uint64_t counted_to = 0;
    wall_time complete_to = 0;
    /// Its time of day less the holder's steady clock, once it has told it.
    std::optional<wall_time> offset;
    time_point heard_at{};
    bool left = false;
  };

  std::uint64_t window_of(wall_time when) const;
  wall_time end_of(std::uint64_t window) const;
  void count(rpc::RunCountT const& entry, wall_time began_at);
  /// Nodes that may still have something to tell of the time before `when`.
  std::set<std::string> incomplete_at(wall_time when) const;
  void forget_silent(time_point now);
  closed_window close(std::uint64_t window, wall_time true_now);

  ledger_options options_;
  std::uint64_t first_open_ = 0;
  std::map<std::uint64_t, tenant_counts> open_;
  std::map<std::uint64_t, rpc::UsageWindowT> unreported_;
  /// By incarnation.
  std::map<std::string, process> processes_;
  /// As an offset of a process; used until one has told its own.
  wall_time own_offset_ = 0;
  bool changed_ = false;
  std::uint64_t late_ = 0;
};

}  // namespace frostline::usage
