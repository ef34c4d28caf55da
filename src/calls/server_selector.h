/// @file Selects a server of a service for one attempt of a request. No I/O; reads no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "balancing/server_paces.h"
#include "base/time.h"
#include "directory/server_directory.h"

namespace frostline::calls {

/// Ranks servers by, in this order: not in backoff; the fewest isolated requests; the fewest
/// outstanding requests per slot; in the node's own zone; the latest fast answer, since the
/// connection to that server is probably still open; a random number. A server is in backoff after
/// a failed attempt and, for a shorter time, after it refused a request because it was full.
///
/// A server that runs a suspect request, one that may crash it, is marked by `isolate`, and is
/// selected for other requests only if all other candidates are marked or in backoff. If that
/// server crashes, few other requests are lost.
///
/// If slow servers are avoided, the load compared is the larger of the outstanding requests and
/// those of a fresh load report, per slot, times the pace of a server that is slower than most.
/// Servers on probation (see server_paces) are selected only if no other candidate has a free slot,
/// and for probes.
class server_selector {
 public:
  /// Number of candidates that `pick` compares between two checks for a free slot.
  static constexpr std::size_t k_candidates_per_round = 128;

  /// @param avoids_slow_servers returns true if servers that are measured to be slow are avoided.
  server_selector(
      std::string own_zone, std::uint64_t seed,
      std::function<bool()> avoids_slow_servers = [] { return false; })
      : own_zone_(std::move(own_zone)),
        start_fraction_(fraction_of_range(seed)),
        random_(seed),
        avoids_slow_servers_(std::move(avoids_slow_servers)) {}

  /// Returns the best-ranked candidate. Compares candidates in rounds of k_candidates_per_round,
  /// starting at a position that is fixed for this node, and stops after the first round in which
  /// the best one so far has a free slot.
  /// @param candidates the ready servers of one service, sorted by identifier.
  /// @param tried server incarnations that this request was already sent to.
  /// @param probe_share share of such requests that may be sent to a server on probation as a
  /// probe, from 0 to 1.
  /// @return null if no candidate is left.
  directory::server const* pick(std::vector<directory::server const*> const& candidates,
                                std::set<std::string> const& tried, time_point now,
                                double probe_share = 0);
  /// Marks a server as running a suspect request, one that may crash it.
  /// @return a guard whose destruction removes the mark; it must not outlive the selector.
  [[nodiscard]] std::shared_ptr<void> isolate(std::string const& server);

  void note_sent(std::string const& server) { ++states_[server].outstanding; }
  void note_answer(std::string const& server);
  /// Notes an answer within its target time: the server is preferred for the next request.
  void note_fast_answer(std::string const& server, time_point now);
  /// Notes an attempt without a usable answer.
  void note_failure(std::string const& server, time_point now);
  /// Notes that the sender abandoned an outstanding request. Leaves the server's backoff unchanged.
  void note_abandoned(std::string const& server);
  /// Notes that the server refused a request without running it, since it is full.
  void note_full(std::string const& server, time_point now);
  /// Clears the failures, backoff and last fast answer of the server's previous incarnation.
  void note_restart(std::string const& server);
  /// Removes the state of servers that have left the directory, once they have no outstanding
  /// request and no mark of `isolate`.
  void clean(directory::server_directory const& servers);
  std::uint32_t outstanding(std::string const& server) const;
  /// Measurements of this node's calls, for the sender of the requests. They are taken whether or
  /// not slow servers are avoided.
  balancing::server_paces& paces() { return paces_; }
  /// Counters for metrics; no server is on probation unless slow servers are avoided.
  balancing::pace_counters pace_counters() const;
  /// Servers to report to other nodes as slow; none unless slow servers are avoided.
  std::vector<balancing::slow_server> slow_servers(time_point now) const;
  /// Notes a server that another node reports as slow. The caller ignores unknown servers.
  void note_received(balancing::slow_server const& received, time_point now);
  /// Number of candidates that were ranked since construction.
  std::uint64_t compared_count() const { return compared_count_; }

 private:
  struct server_state {
    std::uint32_t outstanding = 0;
    /// Number of marks set by `isolate` that are still held.
    std::uint32_t isolated = 0;
    std::uint32_t consecutive_failures = 0;
    time_point backoff_until = time_point::min();
    /// time_point::min() if the last answer was not fast, or there was none.
    time_point last_fast_answer_at = time_point::min();
  };

  /// Sort key of a candidate; the lowest one is selected.
  using rank = std::tuple<bool, std::uint32_t, double, bool, milliseconds, std::uint64_t>;

  struct ranked_server {
    directory::server const* server = nullptr;
    rank key;
    bool has_free_slot = false;
    bool on_probation = false;
    bool is_probe_due = false;
  };

  /// The best candidates so far.
  struct contenders {
    ranked_server best;
    ranked_server best_on_probation;
    /// The best of the servers with a free slot that need a probe.
    ranked_server probe;

    void add(ranked_server const& candidate);
    /// Returns the best one if it has a free slot, or else the best of all.
    ranked_server const& selected() const;
  };

  static double fraction_of_range(std::uint64_t seed);
  ranked_server rank_server(directory::server const& server, time_point now, bool by_pace);
  static bool has_free_slot(rank const& candidate);
  /// Counts a request, and returns true if it is to be sent as a probe.
  /// @param wanted a server needs a probe.
  bool may_probe(double probe_share, bool wanted);
  void log_changes();
  void release(server_state& state);

  std::string own_zone_;
  /// Where this node starts in the list of candidates, as a fraction of its length.
  double start_fraction_;
  std::mt19937_64 random_;
  std::function<bool()> avoids_slow_servers_;
  std::map<std::string, server_state> states_;
  balancing::server_paces paces_;
  /// Requests since the last probe, each counted by the share of probes that it allows.
  double probe_credit_ = 0;
  std::uint64_t compared_count_ = 0;
};

}  // namespace frostline::calls
