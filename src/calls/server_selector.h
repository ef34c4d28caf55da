/// @file Chooses a server of a service for one attempt. Pure.
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

/// Least outstanding requests for its slots; among equals one of the own zone, then the one that
/// last answered in good time, since its connection is open, then a random one. A server that fails
/// without an answer is left out for a while, unless there is no other.
///
/// Requests whose connections broke are kept apart from each other, and other requests from them,
/// as far as there are servers: if one of them ends its servers, it takes fewer others along, and
/// these clear themselves by their answers.
class server_selector {
 public:
  /// Candidates that are compared at once.
  static constexpr std::size_t k_compared = 128;

  server_selector(std::string own_zone, std::uint64_t seed)
      : own_zone_(std::move(own_zone)), first_(part_of_range(seed)), random_(seed) {}

  /// Compares a bounded number of candidates, always about the same ones, as long as one of them
  /// has a free place.
  /// @param candidates in an order that lasts.
  /// @param tried lives that this request has been sent to.
  /// @return null if no candidate is left.
  directory::server const* pick(std::vector<directory::server const*> const& candidates,
                                std::set<std::string> const& tried, time_point now);
  /// A request goes to this server whose connection broke elsewhere. @return to be held until its
  /// exchange ends, within the selector's life.
  [[nodiscard]] std::shared_ptr<void> isolate(std::string const& server);

  void note_sent(std::string const& server) { ++states_[server].outstanding; }
  void note_answer(std::string const& server);
  /// An answer within its objective's time: the next request may go there again.
  void note_swift_answer(std::string const& server, time_point now);
  /// No answer, or one that can't be used.
  void note_failure(std::string const& server, time_point now);
  /// The sender gave up; it says nothing about the server.
  void note_abandoned(std::string const& server);
  /// Refused, not run: it is full.
  void note_full(std::string const& server, time_point now);
  /// A server has started again: its failures were those of the life before.
  void note_new_life(std::string const& server);
  /// Forgets servers that are gone.
  void clean(directory::server_directory const& servers);
  std::uint32_t outstanding(std::string const& server) const;
  /// Candidates that have been compared so far.
  std::uint64_t compared() const { return compared_; }

 private:
  struct server_state {
    std::uint32_t outstanding = 0;
    /// Requests among them whose connections broke elsewhere.
    std::uint32_t isolated = 0;
    std::uint32_t failures_in_row = 0;
    time_point avoided_until = time_point::min();
    /// time_point::min() if its last answer took longer than it should, or there was none.
    time_point swift_at = time_point::min();
  };

  /// Worse the higher it is.
  using rank = std::tuple<bool, std::uint32_t, double, bool, milliseconds, std::uint64_t>;

  static double part_of_range(std::uint64_t seed);
  rank rank_of(directory::server const& one, time_point now);
  static bool has_free_place(rank const& one);
  void release(server_state& state);

  std::string own_zone_;
  /// Where this node begins to compare, as a part of all candidates.
  double first_;
  std::mt19937_64 random_;
  std::map<std::string, server_state> states_;
  std::uint64_t compared_ = 0;
};

}  // namespace frostline::calls
