/// @file Counts the servers that ended while running each request, to distinguish poison requests
/// from those that merely ran on the same servers. Pure.
///
/// A request that a server answers is not a poison request, so its entry is dropped.
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

/// Number of servers that a request may crash before it is quarantined.
inline constexpr std::uint32_t k_crash_threshold = 3;

/// A server that ended while it ran a request.
struct crash {
  fingerprint request;
  /// Incarnation of the server.
  std::string server;
  /// When the request was sent, and when its connection broke.
  time_point sent_at{};
  time_point ended_at{};
};

/// Crashes attributed to one request.
struct crash_history {
  /// Server incarnations that ended while running the request, in the order of the reports.
  std::vector<std::string> servers;
  /// Number of crashes in sequence, each of a run that began after the previous crash. Servers that
  /// end together, as in a power failure, count as one, since a popular request is in flight on
  /// many.
  std::uint32_t sequential_crashes = 0;
  /// When `sequential_crashes` reached k_crash_threshold.
  std::optional<time_point> threshold_reached_at;
  /// When the last server ended.
  time_point last_crash_at = time_point::min();
};

class suspect_table {
 public:
  /// Limit of entries, about 300 bytes each. It exceeds the requests in flight when many servers
  /// crash together. Beyond it, the entry with the fewest servers is evicted, the oldest first.
  static constexpr std::size_t k_max_entries = 8192;
  /// Limit of incarnations kept for each entry. It exceeds the crash threshold, since these
  /// incarnations also explain the crashes of other requests on the same servers.
  static constexpr std::size_t k_max_servers = 32;

  explicit suspect_table(std::size_t max_entries = k_max_entries) : max_entries_(max_entries) {}

  /// Adds a crash; a known incarnation changes nothing. @return the request's history.
  crash_history const& note(crash const& event);
  /// A server answered the request.
  void clear(fingerprint const& request);
  /// Drops entries whose last crash was at `before` or earlier.
  void expire(time_point before);
  /// Null if there is no entry.
  crash_history const* find(fingerprint const& request) const;
  /// Requests that ended at least `min_servers` servers, those with the most servers first.
  std::vector<fingerprint> most_suspected(std::size_t min_servers, std::size_t max_count) const;
  /// Returns true if each server that ended under this request also ended under a request with
  /// stronger evidence. Retries of a harmless request may be placed on servers that a poison
  /// request crashes several times in a row.
  /// @param is_known_poison returns true for requests with a proven record.
  bool is_explained_by_others(fingerprint const& request,
                              std::function<bool(fingerprint const&)> const& is_known_poison) const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    crash_history history;
    time_point last_sequential_at = time_point::min();
  };
  /// Eviction order: fewest servers first, then oldest.
  using rank = std::tuple<std::size_t, time_point, fingerprint>;

  static rank rank_of(fingerprint const& request, entry const& item) {
    return {item.history.servers.size(), item.history.last_crash_at, request};
  }

  std::size_t max_entries_;
  std::map<fingerprint, entry> entries_;
  std::set<rank> ranks_;
};

}  // namespace frostline::quarantine
