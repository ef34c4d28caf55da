/// @file Counts the servers that crashed while running each request, to distinguish poison requests
/// from those that merely ran on the same servers. No I/O; reads no clock.
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

/// A request that has crashed this many servers is quarantined, unless other requests explain the
/// crashes.
inline constexpr std::uint32_t k_crash_threshold = 3;
/// How long evidence is kept. Clients retry within minutes, and crashes further apart are weak
/// evidence, since another node may have seen an answer between them.
inline constexpr milliseconds k_evidence_retention{600'000};

/// The crash of a server while it ran a request.
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
  /// Server incarnations that crashed while running the request, at most k_max_servers, in the
  /// order in which they were noted.
  std::vector<std::string> servers;
  /// Number of crashes in sequence, each of a run that began after the previous crash. Servers that
  /// crash together, as in a power failure, count as one, since a popular request may be running on
  /// many of them.
  std::uint32_t sequential_crashes = 0;
  /// When `sequential_crashes` reached k_crash_threshold; nullopt before.
  std::optional<time_point> threshold_reached_at;
  /// When the last server crashed.
  time_point last_crash_at = time_point::min();
};

class suspect_table {
 public:
  /// Limit of entries, about 300 bytes each. A wide crash at the largest deployment measured (600
  /// servers with 8 requests each) leaves 4,800. Beyond the limit, the entry with the fewest
  /// servers is evicted; among equal ones, that with the oldest last crash.
  static constexpr std::size_t k_max_entries = 8192;
  /// Limit of incarnations kept for each entry. It exceeds the crash threshold, since these
  /// incarnations also explain the crashes of other requests on the same servers. A request tried
  /// 25 times a second crashed ten servers in the 1.1 s until it was refused everywhere.
  static constexpr std::size_t k_max_servers = 32;

  explicit suspect_table(std::size_t max_entries = k_max_entries) : max_entries_(max_entries) {}

  /// Adds a crash, unless the request's history has the server incarnation already. @return the
  /// request's history.
  crash_history const& note(crash const& event);
  /// Drops the entry of a request, since a server answered it.
  void clear(fingerprint const& request);
  /// Drops entries whose last crash was at `before` or earlier.
  void expire(time_point before);
  /// Null if there is no entry.
  crash_history const* find(fingerprint const& request) const;
  /// Up to `max_count` requests that crashed at least `min_servers` servers, those with the most
  /// servers first.
  std::vector<fingerprint> most_suspected(std::size_t min_servers, std::size_t max_count) const;
  /// Returns true if each server that crashed while running this request was also running another
  /// request that has crashed more servers or is known to be poison. Retries of a harmless request
  /// may be placed on servers that a poison request crashes several times in a row.
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
