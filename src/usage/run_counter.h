/// @file Counts this node's requests that servers may have begun to run, by tenant and with their
/// start times. No I/O; reads no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "schema/frostline_generated.h"

namespace frostline::usage {

class run_counter {
 public:
  using attempt_id = std::uint64_t;

  /// A request is about to be sent to a server, which may begin to run it from now on.
  attempt_id begin_attempt(time_point now);
  /// Ends an attempt. Counts the request if `began` is true and `tenant` is not empty.
  /// @param began_at when the server began to run the request; ignored if `began` is false.
  void end_attempt(attempt_id id, std::string const& tenant, bool began, time_point began_at);

  /// Entries with a sequence above `sequence`, and the time up to which all runs are included, both
  /// with times relative to `now`.
  /// @param max_entries limit of entries; the others are returned by a later call.
  rpc::UsageCallT entries_after(std::uint64_t sequence, time_point now,
                                std::size_t max_entries) const;
  bool has_entries_after(std::uint64_t sequence) const {
    return !entries_.empty() && entries_.back().sequence > sequence;
  }
  /// Drops entries of requests that began before `when`, once no window can count them.
  void drop_before(time_point when);
  /// Number of requests counted since construction.
  std::uint64_t total() const { return total_; }

 private:
  struct entry {
    std::uint64_t sequence = 0;
    std::string tenant;
    std::uint64_t requests = 0;
    time_point began_at{};
  };

  /// Start times of attempts, in the order of their identifiers.
  std::map<attempt_id, time_point> in_flight_;
  std::deque<entry> entries_;
  attempt_id next_attempt_ = 1;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t total_ = 0;
};

}  // namespace frostline::usage
