/// @file Selects a server of a service for one attempt. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "directory/server_directory.h"

namespace frostline::calls {

/// Prefers the fewest outstanding requests per slot; then the node's own zone; then the server with
/// the latest fast answer, since its connection is open; then a random one. A server that failed
/// without an answer is avoided for a backoff time unless there is no other.
///
/// Isolates requests whose connections broke from each other and from other requests, as far as
/// there are enough servers: if one of them crashes its servers, few other requests are lost with
/// it, and those that are answered are cleared.
class server_selector {
 public:
  /// Candidates that are compared before the first check for a free slot.
  static constexpr std::size_t k_candidates_per_round = 128;

  server_selector(std::string own_zone, std::uint64_t seed)
      : own_zone_(std::move(own_zone)), start_fraction_(fraction_of_range(seed)), random_(seed) {}

  /// Compares a bounded number of candidates, starting from a fixed point of the list, as long as
  /// one of them has a free slot.
  /// @param candidates in a stable order.
  /// @param tried server incarnations that this request was already sent to.
  /// @return null if no candidate is left.
  directory::server const* pick(std::vector<directory::server const*> const& candidates,
                                std::set<std::string> const& tried, time_point now);
  /// Marks the server as running a request whose connection broke at another server.
  /// @return a guard to hold until the exchange ends; it must not outlive the selector.
  [[nodiscard]] std::shared_ptr<void> isolate(std::string const& server);

  void note_sent(std::string const& server) { ++states_[server].outstanding; }
  void note_answer(std::string const& server);
  /// Notes an answer within its target time: the server is preferred for the next request.
  void note_fast_answer(std::string const& server, time_point now);
  /// Notes an attempt without a usable answer.
  void note_failure(std::string const& server, time_point now);
  /// Notes that the sender abandoned the request, which says nothing about the server.
  void note_abandoned(std::string const& server);
  /// Notes that the server refused a request without running it, since it is full.
  void note_full(std::string const& server, time_point now);
  /// Clears the failures of the server's previous incarnation.
  void note_restart(std::string const& server);
  /// Removes the state of servers that have left the directory.
  void clean(directory::server_directory const& servers);
  std::uint32_t outstanding(std::string const& server) const;
  /// Number of comparisons so far.
  std::uint64_t compared_count() const { return compared_count_; }

 private:
  struct server_state {
    std::uint32_t outstanding = 0;
    /// Outstanding requests whose connections broke at other servers.
    std::uint32_t isolated = 0;
    std::uint32_t consecutive_failures = 0;
    time_point backoff_until = time_point::min();
    /// time_point::min() if the last answer was not fast, or there was none.
    time_point last_fast_answer_at = time_point::min();
  };

  /// Sort key of a candidate; the lowest one is selected.
  using rank = std::tuple<bool, std::uint32_t, double, bool, milliseconds, std::uint64_t>;

  static double fraction_of_range(std::uint64_t seed);
  rank rank_of(directory::server const& server, time_point now);
  static bool has_free_slot(rank const& candidate);
  void release(server_state& state);

  std::string own_zone_;
  /// Where this node starts in the list of candidates, as a fraction of its length.
  double start_fraction_;
  std::mt19937_64 random_;
  std::map<std::string, server_state> states_;
  std::uint64_t compared_count_ = 0;
};

}  // namespace frostline::calls
