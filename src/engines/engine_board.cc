#include "engines/engine_board.h"

#include <algorithm>
#include <limits>

namespace frostline::engines {
namespace {

constexpr double k_gap_smoothing = 0.15;
/// Age, counted from the last update, at which an engine's event gap expires.
constexpr milliseconds k_gap_ttl{6000};
constexpr milliseconds k_typical_gap_interval{50};
constexpr milliseconds k_first_block{300};
constexpr std::uint32_t k_max_block_doublings = 3;
/// Lowest speedup and saved time for which a run is moved: a move costs a request and a prefill of
/// the prompt.
constexpr double k_move_ratio = 1.2;
constexpr milliseconds k_min_gain{200};
/// Cost reduction for an engine that has the group's prompt cached.
constexpr double k_group_bonus = 0.3;

/// A load only blocks runs of the same model.
bool is_loading(engine_entry const& engine, std::string const& model) {
  return engine.load == load_state::ordered && engine.ordered_model == model;
}

}  // namespace

std::string_view to_string(run_obstacle obstacle) {
  switch (obstacle) {
    case run_obstacle::no_engine:
      return "no_engine";
    case run_obstacle::no_version:
      return "no_version";
    case run_obstacle::loading:
      return "loading";
    case run_obstacle::blocked:
      return "blocked";
    case run_obstacle::no_slot:
      return "no_slot";
    case run_obstacle::no_memory:
      return "no_memory";
  }
  return "unknown";
}

void engine_board::reset_for_restart(engine_entry& engine) {
  engine.versions.clear();
  engine.event_gap_ms = 0;
  engine.blocked_until = time_point::min();
  engine.failures_in_row = 0;
  engine.load = load_state::idle;
  engine.ordered_at = time_point{};
}

std::uint64_t engine_entry::version_of(std::string const& model) const {
  auto const held = versions.find(model);
  return held == versions.end() ? 0 : held->second;
}

void engine_board::update(std::vector<directory::server const*> const& servers) {
  std::set<std::string> listed;
  for (directory::server const* server : servers) listed.insert(server->id);
  std::vector<std::string> removed;
  for (auto const& [id, engine] : engines_) {
    if (!listed.contains(id)) removed.push_back(id);
  }
  for (std::string const& id : removed) remove(id);
  for (directory::server const* server : servers) put(*server);
}

void engine_board::put(directory::server const& server) {
  auto const [position, inserted] = engines_.try_emplace(server.id);
  engine_entry& engine = position->second;
  if (!inserted && engine.server == server) return;
  if (server.born > engine.server.born) reset_for_restart(engine);
  engine.server = server;
  for (auto const& [model, version] : server.models) {
    std::uint64_t& held = engine.versions[model];
    held = std::max(held, version);
  }
  if (engine.load == load_state::idle) loading_.erase(server.id);
  update_index(engine);
}

void engine_board::remove(std::string const& id) {
  auto const found = engines_.find(id);
  if (found == engines_.end()) return;
  for (auto const& [group, runs] : found->second.groups) remove_from_group(id, group);
  engines_.erase(found);
  index_.remove(id);
  loading_.erase(id);
  measured_.erase(id);
}

void engine_board::update_index(engine_entry const& entry) {
  engine_summary summary;
  summary.id = entry.server.id;
  summary.ready = entry.server.state == directory::server_state::ready;
  summary.slots = entry.server.slots;
  summary.in_flight = entry.in_flight;
  summary.versions = entry.versions;
  if (entry.load == load_state::ordered)
    summary.load = {entry.ordered_model, entry.ordered_version};
  index_.put(summary);
}

engine_entry const* engine_board::find(std::string const& id) const {
  auto const found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

engine_entry* engine_board::find_mutable(std::string const& id) {
  auto const found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

void engine_board::set_version(std::string const& id, std::string const& model,
                               std::uint64_t version) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr || engine->version_of(model) == version) return;
  engine->versions[model] = version;
  update_index(*engine);
}

void engine_board::raise_version(std::string const& id, std::string const& model,
                                 std::uint64_t version) {
  engine_entry const* const engine = find(id);
  if (engine != nullptr) set_version(id, model, std::max(engine->version_of(model), version));
}

void engine_board::begin_load(std::string const& id, std::string const& model,
                              std::uint64_t version, time_point now) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr) return;
  engine->load = load_state::ordered;
  engine->ordered_at = now;
  engine->ordered_model = model;
  engine->ordered_version = version;
  loading_.insert(id);
  update_index(*engine);
}

void engine_board::set_ordered_at(std::string const& id, time_point at) {
  engine_entry* const engine = find_mutable(id);
  if (engine != nullptr) engine->ordered_at = at;
}

void engine_board::end_load(std::string const& id) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr || engine->load == load_state::idle) return;
  engine->load = load_state::idle;
  loading_.erase(id);
  update_index(*engine);
}

void engine_board::end_all_loads() {
  std::set<std::string> const all = loading_;
  for (std::string const& id : all) end_load(id);
}

bool engine_board::can_run(engine_entry const& engine, run_requirements const& requirements,
                           time_point now) const {
  if (engine.server.service != requirements.service) return false;
  if (engine.server.state != directory::server_state::ready) return false;
  if (is_loading(engine, requirements.model) || engine.blocked_until > now) return false;
  if (requirements.excluded.contains(engine.server.id)) return false;
  if (engine.in_flight >= engine.server.slots) return false;
  return has_version(engine, requirements);
}

bool engine_board::has_version(engine_entry const& engine, run_requirements const& requirements) {
  auto const version = engine.versions.find(requirements.model);
  if (version == engine.versions.end()) return false;
  if (requirements.exact_version) return version->second == *requirements.exact_version;
  return version->second >= requirements.min_version;
}

run_obstacle engine_board::find_obstacle(engine_entry const& engine,
                                         run_requirements const& requirements, time_point now) {
  bool const serves = engine.server.service == requirements.service &&
                      engine.server.state == directory::server_state::ready &&
                      engine.versions.contains(requirements.model);
  if (!serves) return run_obstacle::no_engine;
  if (!has_version(engine, requirements)) return run_obstacle::no_version;
  if (is_loading(engine, requirements.model)) return run_obstacle::loading;
  if (engine.blocked_until > now) return run_obstacle::blocked;
  bool const full = engine.in_flight >= engine.server.slots;
  return full ? run_obstacle::no_slot : run_obstacle::no_memory;
}

run_obstacle engine_board::find_obstacle(run_requirements const& requirements,
                                         time_point now) const {
  run_obstacle obstacle = run_obstacle::no_engine;
  for (auto const& [id, engine] : engines_) {
    obstacle = std::max(obstacle, find_obstacle(engine, requirements, now));
  }
  return obstacle;
}

double engine_board::cost_of(engine_entry const& engine, run_requirements const& requirements,
                             time_point now) const {
  double const load = static_cast<double>(engine.in_flight) / std::max(engine.server.slots, 1U);
  double const bonus = engine.groups.contains(requirements.group) ? k_group_bonus : 0.0;
  return slowness(engine, now) * (1.0 + load) - bonus;
}

engine_entry const* engine_board::choose(run_requirements const& requirements, time_point now) {
  bool lacks_memory = false;
  engine_entry const* const best = find_best(requirements, now, lacks_memory);
  if (best == nullptr && lacks_memory) ++memory_counters_.refused;
  return best;
}

engine_entry const* engine_board::find_best(run_requirements const& requirements, time_point now,
                                            bool& lacks_memory) {
  refresh_typical_gap(now);
  engine_entry const* best = nullptr;
  double best_cost = 0;
  auto const consider = [&](std::string const& id) {
    ++examined_;
    engine_entry const* const engine = find(id);
    if (engine == nullptr || !can_run(*engine, requirements, now)) return;
    double const cost = cost_of(*engine, requirements, now);
    bool const better = best == nullptr || cost < best_cost ||
                        (cost == best_cost && engine->server.id < best->server.id);
    if (!better) return;
    // Checked last, since it takes the longest.
    if (!has_memory(*engine, requirements, now)) {
      lacks_memory = true;
      return;
    }
    best = engine;
    best_cost = cost;
  };
  for (std::string const& id : measured_) consider(id);
  auto const group = groups_.find(requirements.group);
  if (group != groups_.end()) {
    for (std::string const& id : group->second) consider(id);
  }
  std::uint64_t const min_version = requirements.exact_version.value_or(requirements.min_version);
  std::uint64_t const max_version =
      requirements.exact_version.value_or(std::numeric_limits<std::uint64_t>::max());
  // Among the engines without a recent event gap, the least loaded one has the lowest cost.
  index_.visit_least_loaded(
      requirements.model, min_version, max_version, [&](std::string const& id) {
        engine_entry const* const engine = find(id);
        // Engines with a recent gap are in `measured_`.
        if (engine == nullptr || has_recent_gap(*engine, now)) return false;
        consider(id);
        return can_run(*engine, requirements, now) && has_memory(*engine, requirements, now);
      });
  return best;
}

void engine_board::note_event_gap(std::string const& id, milliseconds gap, time_point now) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr) return;
  double const gap_ms = static_cast<double>(gap.count());
  bool const restart_average =
      engine->event_gap_ms == 0 || now - engine->gap_updated_at > k_gap_ttl;
  engine->event_gap_ms =
      restart_average ? gap_ms
                      : engine->event_gap_ms + k_gap_smoothing * (gap_ms - engine->event_gap_ms);
  engine->gap_updated_at = now;
  measured_.insert(id);
}

void engine_board::note_failure(std::string const& id, time_point now) {
  engine_entry* const engine = find_mutable(id);
  if (engine == nullptr) return;
  auto const doublings = std::min(engine->failures_in_row++, k_max_block_doublings);
  block(id, now + k_first_block * (1 << doublings));
}

void engine_board::note_success(std::string const& id) {
  engine_entry* const engine = find_mutable(id);
  if (engine != nullptr) engine->failures_in_row = 0;
}

void engine_board::block(std::string const& id, time_point until) {
  engine_entry* const engine = find_mutable(id);
  if (engine != nullptr) engine->blocked_until = std::max(engine->blocked_until, until);
}

bool engine_board::has_recent_gap(engine_entry const& engine, time_point now) const {
  return engine.event_gap_ms > 0 && now - engine.gap_updated_at <= k_gap_ttl;
}

void engine_board::refresh_typical_gap(time_point now) {
  if (now - typical_gap_at_ < k_typical_gap_interval) return;
  typical_gap_at_ = now;
  std::erase_if(measured_, [&](std::string const& id) {
    engine_entry const* const engine = find(id);
    return engine == nullptr || !has_recent_gap(*engine, now);
  });
  std::vector<double> gaps;
  for (std::string const& id : measured_) gaps.push_back(find(id)->event_gap_ms);
  typical_gap_ms_ = 0;
  if (gaps.empty()) return;
  auto const middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  typical_gap_ms_ = *middle;
}

double engine_board::slowness(engine_entry const& engine, time_point now) const {
  if (typical_gap_ms_ <= 0 || !has_recent_gap(engine, now)) return 1.0;
  return std::max(engine.event_gap_ms / typical_gap_ms_, 0.5);
}

milliseconds engine_board::gain_of_move(engine_entry const& from,
                                        run_requirements const& requirements, std::uint64_t events,
                                        time_point now) {
  refresh_typical_gap(now);
  double const own_slowness = slowness(from, now);
  if (own_slowness < k_move_ratio) return milliseconds(0);
  bool lacks_memory = false;
  engine_entry const* const other = find_best(requirements, now, lacks_memory);
  // An engine of unknown speed may be the slow one that the run has just left.
  if (other == nullptr || other == &from || !has_recent_gap(*other, now)) return milliseconds(0);
  double const other_slowness = slowness(*other, now);
  if (own_slowness < k_move_ratio * other_slowness) return milliseconds(0);
  double const saved =
      (own_slowness - other_slowness) * typical_gap_ms_ * static_cast<double>(events);
  auto const gain = milliseconds(static_cast<std::int64_t>(saved));
  return gain < k_min_gain ? milliseconds(0) : gain;
}

}  // namespace frostline::engines
