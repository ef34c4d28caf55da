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
#include "directory/server.h"
#include "engines/engine_index.h"

namespace frostline::engines {

/// idle -> ordered (an order was sent) -> idle when discovery shows the version or the order is
/// over.
enum class load_state { idle, ordered };

struct engine_entry {
  /// Version that it holds of a model; 0: none that is known.
  std::uint64_t version_of(std::string const& model) const;

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
struct run_requirements {
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
  /// Takes over what discovery knows of all of a pool's servers.
  void update(std::vector<directory::server const*> const& servers);
  /// Takes over what discovery knows of one server.
  void put(directory::server const& server);
  void remove(std::string const& id);

  engine_entry const* find(std::string const& id) const;
  std::map<std::string, engine_entry> const& engines() const { return engines_; }
  /// Engines that were ordered to load.
  std::set<std::string> const& loading() const { return loading_; }
  engine_index const& index() const { return index_; }
  /// Newest version of a model that was named.
  void set_newest(std::string const& model, std::uint64_t newest) {
    index_.set_newest(model, newest);
  }

  /// An engine's own word counts; discovery's may be older.
  void set_version(std::string const& id, std::string const& model, std::uint64_t version);
  /// It holds this version or a later one.
  void raise_version(std::string const& id, std::string const& model, std::uint64_t version);
  void begin_load(std::string const& id, std::string const& model, std::uint64_t version,
                  time_point now);
  /// An order is next looked into, or given, as if it had been given at this time.
  void set_ordered_at(std::string const& id, time_point at);
  void end_load(std::string const& id);
  void end_all_loads();

  /// The engine for a run: one that holds its group's prompt if it is not much slower, else the
  /// one where an event comes soonest. Null if none has room.
  engine_entry const* choose(run_requirements const& need, time_point now);
  void note_started(std::string const& id, std::uint64_t tokens, std::string const& group);
  void note_ended(std::string const& id, std::uint64_t tokens, std::string const& group);
  void note_event_gap(std::string const& id, milliseconds gap, time_point now);
  /// The engine failed a run without an answer, or was silent.
  void note_failure(std::string const& id, time_point now);
  void note_success(std::string const& id);
  void block(std::string const& id, time_point until);

  /// How much slower than the typical engine of the board; 1 if not known.
  double slowness(engine_entry const& one, time_point now) const;
  /// Time that a run would save by leaving this engine for a faster one that has room; 0 if it
  /// should stay. A run is expected to last as long again as it has lasted: few are long, and who
  /// has come far is likely to be one of them.
  /// @param events that the run has had.
  milliseconds gain_of_move(engine_entry const& from, run_requirements const& need,
                            std::uint64_t events, time_point now);
  /// Engines that were looked at to choose one, so far.
  std::uint64_t examined() const { return examined_; }

 private:
  engine_entry* find_own(std::string const& id);
  void file(engine_entry const& one);
  void leave_group(std::string const& id, std::string const& group);
  /// An engine has started again: what was believed of it holds no more but its runs, which end by
  /// themselves.
  static void begin_life(engine_entry& one);
  bool can_run(engine_entry const& one, run_requirements const& need, time_point now) const;
  /// Lower is better.
  double cost_of(engine_entry const& one, run_requirements const& need, time_point now) const;
  bool knows_gap(engine_entry const& one, time_point now) const;
  /// Computes the typical gap anew if it is some time ago.
  void refresh_typical_gap(time_point now);

  std::uint64_t cache_tokens_ = 0;
  /// Median of the engines' gaps; 0: none is known.
  double typical_gap_ms_ = 0;
  time_point typical_gap_at_{};
  std::map<std::string, engine_entry> engines_;
  engine_index index_;
  std::set<std::string> loading_;
  /// Engines whose gaps may be known.
  std::set<std::string> measured_;
  /// Engines that run a group's samples.
  std::map<std::string, std::set<std::string>> groups_;
  std::uint64_t examined_ = 0;
};

}  // namespace frostline::engines
