/// @file Under which requests servers ended: what tells a request that ends its servers from one
/// that happened to be there. Pure.
///
/// A request that is answered by a server is no such request, so its entry is dropped. What is left
/// are requests that were never answered while server after server ended under them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "quarantine/fingerprint.h"

namespace frostline::quarantine {

/// Servers that end under a request before it is kept from others.
inline constexpr std::uint32_t k_crash_threshold = 3;

/// One server that ended while it ran a request.
struct crash {
  fingerprint request;
  /// The life of the server.
  std::string server;
  /// When the request was sent there, and when its connection broke.
  time_point sent_at{};
  time_point ended_at{};
};

/// What is known of one request.
struct suspicion {
  /// Lives of servers that ended under it, in the order of the reports.
  std::vector<std::string> servers;
  /// How many of them ended in turn, each after the one before had. Servers that end together, as
  /// in a loss of power, count as one: a request that is popular is under way at many of them.
  std::uint32_t in_turn = 0;
  /// When that number came to k_crash_threshold.
  std::optional<time_point> enough_at;
  /// When the last of them ended.
  time_point last_at = time_point::min();
};

class suspect_table {
 public:
  /// Entries that are kept, about 300 bytes each. A wide crash at the largest deployment measured
  /// (600 servers with 8 requests each) leaves 4,800; beyond the limit the request goes first under
  /// which the fewest servers have ended, and among these the one that was seen longest ago.
  static constexpr std::size_t k_most_entries = 8192;
  /// Lives of servers that are kept for an entry. More than the three that decide, since they
  /// explain what ended beside it: a request that was tried 25 times a second ended ten servers in
  /// the 1.1 s until it was refused everywhere (soak, three servers that are back after 0.3 s).
  static constexpr std::size_t k_most_servers = 32;

  explicit suspect_table(std::size_t most_entries = k_most_entries) : most_entries_(most_entries) {}

  /// @return what is known of the request now. A server that was noted before changes nothing.
  suspicion const& note(crash const& one);
  /// A server answered the request.
  void clear(fingerprint const& request);
  /// Drops what was last seen at `before` or earlier.
  void expire(time_point before);
  /// Null if nothing is known against it.
  suspicion const* find(fingerprint const& request) const;
  /// Requests under which at least so many servers have ended, those with most of them first.
  std::vector<fingerprint> heaviest(std::size_t least_servers, std::size_t most) const;
  /// Whether each server that ended under this request also ended under one with more to be held
  /// against it: then that one explains them all. A request that ends its servers takes others
  /// along, and their retries with some bad luck three times.
  /// @param condemned requests that are known to end servers.
  bool is_explained_by_others(fingerprint const& request,
                              std::function<bool(fingerprint const&)> const& condemned) const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    suspicion known;
    time_point last_in_turn_at = time_point::min();
  };
  /// What goes first: the fewest servers, then the oldest.
  using rank = std::tuple<std::size_t, time_point, fingerprint>;

  static rank rank_of(fingerprint const& request, entry const& one) {
    return {one.known.servers.size(), one.known.last_at, request};
  }

  std::size_t most_entries_;
  std::map<fingerprint, entry> entries_;
  std::set<rank> ranks_;
};

}  // namespace frostline::quarantine
