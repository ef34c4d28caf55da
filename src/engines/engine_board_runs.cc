/// @file Runs in flight of the engines: their counts and their memory.

#include <algorithm>

#include "engines/engine_board.h"

namespace frostline::engines {

void engine_board::note_started(std::string const& id, std::uint64_t tokens,
                                std::string const& group, std::optional<scheduling::run_id> run,
                                scheduling::run_memory const& memory) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr) return;
  if (plans_memory_ && exceeds_sum(*engine, tokens)) ++memory_counters_.admitted_over_sum;
  ++engine->in_flight;
  engine->tokens_in_flight += tokens;
  if (run) engine->memory.add(*run, memory);
  ++engine->groups[group];
  groups_[group].insert(id);
  update_index(*engine);
}

void engine_board::note_ended(std::string const& id, std::uint64_t tokens, std::string const& group,
                              std::optional<scheduling::run_id> run) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr) return;
  if (run) engine->memory.remove(*run);
  if (engine->in_flight > 0) --engine->in_flight;
  engine->tokens_in_flight -= std::min(tokens, engine->tokens_in_flight);
  auto const runs = engine->groups.find(group);
  if (runs != engine->groups.end() && --runs->second == 0) {
    engine->groups.erase(runs);
    remove_from_group(id, group);
  }
  update_index(*engine);
}

void engine_board::note_progress(std::string const& id, scheduling::run_id run,
                                 std::uint64_t events) {
  engine_entry* const engine = find_mutable(id);
  if (engine != nullptr) engine->memory.progress(run, events);
}

void engine_board::remove_from_group(std::string const& id, std::string const& group) {
  auto const found = groups_.find(group);
  if (found == groups_.end()) return;
  found->second.erase(id);
  if (found->second.empty()) groups_.erase(found);
}

bool engine_board::exceeds_sum(engine_entry const& engine, std::uint64_t tokens) const {
  bool const limited = cache_tokens_ != 0 && engine.in_flight != 0;
  return limited && engine.tokens_in_flight + tokens > cache_tokens_;
}

bool engine_board::has_memory(engine_entry const& engine, run_requirements const& requirements,
                              time_point now) const {
  if (cache_tokens_ == 0 || engine.in_flight == 0) return true;
  bool const half_full = engine.in_flight * 2 >= engine.server.slots;
  if (requirements.may_exceed_memory && !half_full) return true;
  // Without a recent event gap, nothing shows that runs make progress.
  bool const pace_known = typical_gap_ms_ > 0 || has_recent_gap(engine, now);
  if (!plans_memory_ || !pace_known) return !exceeds_sum(engine, requirements.tokens);
  return engine.memory.admits(requirements.memory, cache_tokens_);
}

}  // namespace frostline::engines
