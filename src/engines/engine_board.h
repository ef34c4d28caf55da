/// @file Scheduling state of a pool's engines, kept by the owner of the pool: requests in flight,
/// measured speed, expected memory and loaded weight versions. No I/O; reads no clock.
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
#include "scheduling/memory_plan.h"

namespace frostline::engines {

/// Whether an engine has an outstanding load order.
/// idle -> ordered (an order is being sent or carried out) -> idle (the version is loaded, or the
/// order ended without effect).
enum class load_state { idle, ordered };

/// Scheduling state of one engine.
struct engine_entry {
  /// Returns the loaded version of a model; 0 if no version was reported.
  std::uint64_t version_of(std::string const& model) const;

  directory::server server;
  /// Loaded version by model, from service discovery and from the engine's own answers.
  std::map<std::string, std::uint64_t> versions;
  std::uint32_t in_flight = 0;
  /// Sum of the expected final sizes of the runs in flight.
  std::uint64_t tokens_in_flight = 0;
  /// Memory of the runs in flight over time. Kept also while it is not used for admission.
  scheduling::memory_plan memory;
  /// Runs in flight by sample group.
  std::map<std::string, std::uint32_t> groups;
  /// Moving average of the time between two stream events of a run; 0 before the first event gap.
  double event_gap_ms = 0;
  time_point gap_updated_at{};
  time_point blocked_until = time_point::min();
  std::uint32_t failures_in_row = 0;
  load_state load = load_state::idle;
  time_point ordered_at{};
  std::string ordered_model;
  std::uint64_t ordered_version = 0;
};

/// What an engine must provide to execute a run.
struct run_requirements {
  std::string service;
  std::string model;
  std::uint64_t min_version = 0;
  /// The only version that may execute the run, if set: the run continues output of that version
  /// and must not mix versions.
  std::optional<std::uint64_t> exact_version;
  /// Expected final size of the run in the KV cache, in tokens.
  std::uint64_t tokens = 0;
  scheduling::run_memory memory;
  /// Sample group of the run. The samples of a group share a prompt.
  std::string group;
  /// Engines that must not be chosen.
  std::set<std::string> excluded;
  /// An engine that is less than half full may be chosen whatever memory its runs are expected to
  /// need. Expectations may be far too high; an engine whose memory does run out puts runs back.
  bool may_exceed_memory = false;
};

/// Why no engine can run a request. Each value means that some engine passes all checks of the
/// values before it.
enum class run_obstacle {
  /// No ready engine of the service has the model.
  no_engine,
  /// No engine has a version that may run the request.
  no_version,
  /// The engines with such a version are loading another one.
  loading,
  /// They failed or refused a run a moment ago.
  blocked,
  no_slot,
  no_memory,
};

inline constexpr std::size_t k_run_obstacles = 6;

std::string_view to_string(run_obstacle obstacle);

struct memory_counters {
  /// Runs that were started although the sum of the final sizes exceeded the KV cache.
  std::uint64_t admitted_over_sum = 0;
  /// Choices that failed because no engine with a free slot had enough memory.
  std::uint64_t refused = 0;
};

class engine_board {
 public:
  /// @param cache_tokens size of each engine's KV cache in tokens; 0 for no limit.
  void set_cache_tokens(std::uint64_t cache_tokens) { cache_tokens_ = cache_tokens; }
  /// Sets whether runs are admitted by their memory over time, or by the sum of their final sizes.
  /// Both are kept at any time.
  void set_memory_planning(bool enabled) { plans_memory_ = enabled; }
  bool plans_memory() const { return plans_memory_; }
  memory_counters const& memory() const { return memory_counters_; }
  /// Adds or updates the engines in `servers`, the pool's servers in service discovery, and removes
  /// all others.
  void update(std::vector<directory::server const*> const& servers);
  /// Adds or updates one engine from its service discovery record.
  void put(directory::server const& server);
  void remove(std::string const& id);

  engine_entry const* find(std::string const& id) const;
  std::map<std::string, engine_entry> const& engines() const { return engines_; }
  /// Engines with an outstanding load order.
  std::set<std::string> const& loading() const { return loading_; }
  engine_index const& index() const { return index_; }
  /// Sets the newest published version of a model.
  void set_newest(std::string const& model, std::uint64_t newest) {
    index_.set_newest(model, newest);
  }

  /// Sets the loaded version of a model, also to a lower value than the recorded one.
  /// @param version 0 if the engine holds an older version than recorded and it is unknown which.
  void set_version(std::string const& id, std::string const& model, std::uint64_t version);
  /// Sets the loaded version of a model to `version` unless the recorded one is higher.
  void raise_version(std::string const& id, std::string const& model, std::uint64_t version);
  void begin_load(std::string const& id, std::string const& model, std::uint64_t version,
                  time_point now);
  /// Sets the start of the current order's timeout to `at`. Without a current order, no order is
  /// sent to the engine before `at`.
  void set_ordered_at(std::string const& id, time_point at);
  void end_load(std::string const& id);
  void end_all_loads();

  /// Chooses the engine with the lowest cost for a run: the expected time per event, less a bonus
  /// if the engine runs samples of the same group and so has the prompt cached. Returns null if no
  /// engine qualifies.
  engine_entry const* choose(run_requirements const& requirements, time_point now);
  /// Returns why `choose` finds no engine. Examines all engines.
  run_obstacle find_obstacle(run_requirements const& requirements, time_point now) const;
  /// @param run identifies the run in the memory plan; must be unique among the runs in flight.
  /// Without it, the run only counts in the sum of the final sizes.
  /// @param memory the run's memory, of which `tokens` is the final size.
  void note_started(std::string const& id, std::uint64_t tokens, std::string const& group,
                    std::optional<scheduling::run_id> run = std::nullopt,
                    scheduling::run_memory const& memory = {});
  /// @param events number of stream events that the run has received.
  void note_progress(std::string const& id, scheduling::run_id run, std::uint64_t events);
  /// @param tokens, group, run as in `note_started`.
  void note_ended(std::string const& id, std::uint64_t tokens, std::string const& group,
                  std::optional<scheduling::run_id> run = std::nullopt);
  void note_event_gap(std::string const& id, milliseconds gap, time_point now);
  /// Records a failed or unanswered request. Blocks the engine with exponential backoff.
  void note_failure(std::string const& id, time_point now);
  void note_success(std::string const& id);
  void block(std::string const& id, time_point until);

  /// Returns the engine's event gap divided by the median of the pool, at least 0.5; 1 if the
  /// engine has no recent event gap.
  double slowness(engine_entry const& engine, time_point now) const;
  /// Estimates the time that a run would save by moving to a faster engine with a free slot; 0 if
  /// the run should stay on `from`. Run lengths are heavy-tailed, so the remaining length is
  /// estimated as equal to the length so far.
  /// @param events number of stream events that the run has received.
  milliseconds gain_of_move(engine_entry const& from, run_requirements const& requirements,
                            std::uint64_t events, time_point now);
  /// Total number of engines examined by all calls of `choose`.
  std::uint64_t examined() const { return examined_; }

 private:
  engine_entry* find_mutable(std::string const& id);
  void update_index(engine_entry const& entry);
  void remove_from_group(std::string const& id, std::string const& group);
  /// As `choose`, but does not count. Sets `lacks_memory` if an engine qualified except for its
  /// memory.
  engine_entry const* find_best(run_requirements const& requirements, time_point now,
                                bool& lacks_memory);
  /// Resets the state of a restarted engine. Its runs stay counted until they end.
  static void reset_for_restart(engine_entry& engine);
  static bool has_version(engine_entry const& engine, run_requirements const& requirements);
  /// Returns the check that the engine fails first; no_memory if it passes all others.
  static run_obstacle find_obstacle(engine_entry const& engine,
                                    run_requirements const& requirements, time_point now);
  /// Does not check the engine's memory.
  bool can_run(engine_entry const& engine, run_requirements const& requirements,
               time_point now) const;
  bool has_memory(engine_entry const& engine, run_requirements const& requirements,
                  time_point now) const;
  bool exceeds_sum(engine_entry const& engine, std::uint64_t tokens) const;
  /// Expected time per event relative to an idle engine of median speed, less the bonus for a
  /// cached prompt.
  double cost_of(engine_entry const& engine, run_requirements const& requirements,
                 time_point now) const;
  bool has_recent_gap(engine_entry const& engine, time_point now) const;
  /// Recomputes the median event gap, unless that was done within the last
  /// `k_typical_gap_interval`.
  void refresh_typical_gap(time_point now);

  std::uint64_t cache_tokens_ = 0;
  bool plans_memory_ = false;
  memory_counters memory_counters_;
  /// Median of the engines' recent event gaps; 0 if there are none.
  double typical_gap_ms_ = 0;
  time_point typical_gap_at_{};
  std::map<std::string, engine_entry> engines_;
  engine_index index_;
  std::set<std::string> loading_;
  /// Engines with an event gap that was recent at the last `refresh_typical_gap` or was added
  /// since.
  std::set<std::string> measured_;
  /// Engines that run samples of each group.
  std::map<std::string, std::set<std::string>> groups_;
  std::uint64_t examined_ = 0;
};

}  // namespace frostline::engines
