/// @file The engines of a pool as its owner sees them: what runs where, how fast they are, which
/// weights they hold. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "directory/server_directory.h"

namespace frostline::engines {

/// idle -> ordered (an order was sent) -> idle when discovery shows the version or the order is
/// over.
enum class load_state { idle, ordered };

struct board_engine {
  directory::server server;
  /// Versions by model, as discovery and the engine's own answers tell; the higher counts.
  std::map<std::string, std::uint64_t> versions;
  std::uint32_t in_flight = 0;
  std::uint64_t tokens_in_flight = 0;
  std::map<std::string, std::uint32_t> groups;
  /// Smoothed time between two events of a run; 0: not known.
  double event_gap_ms = 0;
  time_point gap_known_at{};
  time_point blocked_until = time_point::min();
  std::uint32_t failures_in_row = 0;
  load_state load = load_state::idle;
  time_point ordered_at{};
  std::string ordered_model;
  std::uint64_t ordered_version = 0;
};

/// What a run needs.
struct run_need {
  std::string service;
  std::string model;
  std::uint64_t min_version = 0;
  /// For what goes on from events of one version and may not mix.
  std::optional<std::uint64_t> exact_version;
  std::uint64_t tokens = 0;
  std::string group;
  /// Engines that will not do.
  std::set<std::string> excluded;
};

class engine_board {
 public:
  /// @param cache_tokens memory of each engine; 0: not known.
  void set_cache_tokens(std::uint64_t cache_tokens) { cache_tokens_ = cache_tokens; }
  /// Takes over what discovery knows of a pool's servers.
  void update(std::vector<directory::server const*> const& servers);

  board_engine* find(std::string const& id);
  std::map<std::string, board_engine>& engines() { return engines_; }
  std::map<std::string, board_engine> const& engines() const { return engines_; }

  /// The engine for a run: one that holds its group's prompt if it is not much slower, else the
  /// one where an event comes soonest. Null if none has room.
  board_engine* choose(run_need const& need, time_point now);
  void note_started(std::string const& id, std::uint64_t tokens, std::string const& group);
  void note_ended(std::string const& id, std::uint64_t tokens, std::string const& group);
  void note_event_gap(std::string const& id, milliseconds gap, time_point now);
  /// The engine failed a run without an answer, or was silent.
  void note_failure(std::string const& id, time_point now);
  void note_success(std::string const& id);
  void block(std::string const& id, time_point until);

  /// How much slower than the typical engine of the board; 1 if not known.
  double slowness(board_engine const& one, time_point now) const;
  /// Time that a run would save by leaving this engine for a faster one that has room; 0 if it
  /// should stay. A run is expected to last as long again as it has lasted: few are long, and who
  /// has come far is likely to be one of them.
  /// @param events that the run has had.
  milliseconds gain_of_move(board_engine const& from, run_need const& need, std::uint64_t events,
                            time_point now);

 private:
  /// An engine has started again: what was believed of it holds no more but its runs, which end by
  /// themselves.
  static void begin_life(board_engine& one);
  bool can_run(board_engine const& one, run_need const& need, time_point now) const;
  bool knows_gap(board_engine const& one, time_point now) const;
  /// Computes the typical gap anew if it is some time ago.
  void refresh_typical_gap(time_point now);

  std::uint64_t cache_tokens_ = 0;
  /// Median of the engines' gaps; 0: none is known.
  double typical_gap_ms_ = 0;
  time_point typical_gap_at_{};
  std::map<std::string, board_engine> engines_;
};

}  // namespace frostline::engines
