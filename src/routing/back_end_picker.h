/// @file Chooses an application server: the less loaded of two random candidates, with ejection of
/// servers that fail repeatedly. No I/O; reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::routing {

class back_end_picker {
 public:
  explicit back_end_picker(std::uint64_t seed) : random_(seed) {}

  /// @param candidates servers that may be used.
  /// @param tried servers that the request was already sent to.
  /// @return nothing if no candidate is left. An ejected server is chosen only if all untried
  /// candidates are ejected.
  std::optional<std::string> pick(std::vector<std::string> const& candidates,
                                  std::set<std::string> const& tried, time_point now);

  void note_sent(std::string const& back_end) { ++servers_[back_end].outstanding; }
  void note_answer(std::string const& back_end);
  /// Records a failure of the server; consecutive failures eject it temporarily.
  void note_failure(std::string const& back_end, time_point now);
  bool is_ejected(std::string const& back_end, time_point now) const;

 private:
  struct server_state {
    std::uint32_t outstanding = 0;
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until = time_point::min();
  };

  std::mt19937_64 random_;
  std::map<std::string, server_state> servers_;
};

}  // namespace frostline::routing
