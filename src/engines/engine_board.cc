#include "engines/engine_board.h"

#include <algorithm>
#include <limits>

namespace frostline::engines {
namespace {

constexpr double k_gap_smoothing = 0.15;
/// A measured gap says nothing about an engine that has not been used for that long.
constexpr milliseconds k_gap_memory{6000};
constexpr milliseconds k_typical_gap_interval{50};
constexpr milliseconds k_first_block{300};
constexpr std::uint32_t k_most_block_doublings = 3;
/// A run moves only to an engine that is this many times as fast, and if that saves it so much
/// time: a move costs a request and the reading of the prompt.
constexpr double k_move_ratio = 1.2;
constexpr milliseconds k_least_gain{200};
/// An engine that holds the group's prompt is preferred up to this much more load.
constexpr double k_group_bonus = 0.3;

}  // namespace

void engine_board::begin_life(engine_entry& one) {
  one.versions.clear();
  one.event_gap_ms = 0;
  one.blocked_until = time_point::min();
  one.failures_in_row = 0;
  one.load = load_state::idle;
  one.ordered_at = time_point{};
}

std::uint64_t engine_entry::version_of(std::string const& model) const {
  auto const held = versions.find(model);
  return held == versions.end() ? 0 : held->second;
}

void engine_board::update(std::vector<directory::server const*> const& servers) {
  std::set<std::string> listed;
  for (directory::server const* server : servers) listed.insert(server->id);
  std::vector<std::string> gone;
  for (auto const& [id, one] : engines_) {
    if (!listed.contains(id)) gone.push_back(id);
  }
  for (std::string const& id : gone) remove(id);
  for (directory::server const* server : servers) put(*server);
}

void engine_board::put(directory::server const& server) {
  auto const [place, fresh] = engines_.try_emplace(server.id);
  engine_entry& one = place->second;
  if (!fresh && one.server == server) return;
  if (server.born > one.server.born) begin_life(one);
  one.server = server;
  for (auto const& [model, version] : server.models) {
    std::uint64_t& held = one.versions[model];
    held = std::max(held, version);
  }
  if (one.load == load_state::idle) loading_.erase(server.id);
  file(one);
}

void engine_board::remove(std::string const& id) {
  auto const found = engines_.find(id);
  if (found == engines_.end()) return;
  for (auto const& [group, runs] : found->second.groups) leave_group(id, group);
  engines_.erase(found);
  index_.remove(id);
  loading_.erase(id);
  measured_.erase(id);
}

void engine_board::file(engine_entry const& one) {
  engine_standing standing;
  standing.id = one.server.id;
  standing.ready = one.server.state == directory::server_state::ready;
  standing.slots = one.server.slots;
  standing.in_flight = one.in_flight;
  standing.versions = one.versions;
  if (one.load == load_state::ordered) standing.load = {one.ordered_model, one.ordered_version};
  index_.put(standing);
}

engine_entry const* engine_board::find(std::string const& id) const {
  auto const found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

engine_entry* engine_board::find_own(std::string const& id) {
  auto const found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

void engine_board::set_version(std::string const& id, std::string const& model,
                               std::uint64_t version) {
  engine_entry* const one = find_own(id);
  if (one == nullptr || one->version_of(model) == version) return;
  one->versions[model] = version;
  file(*one);
}

void engine_board::raise_version(std::string const& id, std::string const& model,
                                 std::uint64_t version) {
  engine_entry const* const one = find(id);
  if (one != nullptr) set_version(id, model, std::max(one->version_of(model), version));
}

void engine_board::begin_load(std::string const& id, std::string const& model,
                              std::uint64_t version, time_point now) {
  engine_entry* const one = find_own(id);
  if (one == nullptr) return;
  one->load = load_state::ordered;
  one->ordered_at = now;
  one->ordered_model = model;
  one->ordered_version = version;
  loading_.insert(id);
  file(*one);
}

void engine_board::set_ordered_at(std::string const& id, time_point at) {
  engine_entry* const one = find_own(id);
  if (one != nullptr) one->ordered_at = at;
}

void engine_board::end_load(std::string const& id) {
  engine_entry* const one = find_own(id);
  if (one == nullptr || one->load == load_state::idle) return;
  one->load = load_state::idle;
  loading_.erase(id);
  file(*one);
}

void engine_board::end_all_loads() {
  std::set<std::string> const all = loading_;
  for (std::string const& id : all) end_load(id);
}

bool engine_board::can_run(engine_entry const& one, run_requirements const& need,
                           time_point now) const {
  if (one.server.service != need.service) return false;
  if (one.server.state != directory::server_state::ready) return false;
  // A load concerns the runs of its own model only.
  bool const loading = one.load == load_state::ordered && one.ordered_model == need.model;
  if (loading || one.blocked_until > now) return false;
  if (need.excluded.contains(one.server.id)) return false;
  if (one.in_flight >= one.server.slots) return false;
  bool const fits = cache_tokens_ == 0 || one.in_flight == 0 ||
                    one.tokens_in_flight + need.tokens <= cache_tokens_;
  if (!fits) return false;
  auto const version = one.versions.find(need.model);
  if (version == one.versions.end()) return false;
  if (need.exact_version) return version->second == *need.exact_version;
  return version->second >= need.min_version;
}

double engine_board::cost_of(engine_entry const& one, run_requirements const& need,
                             time_point now) const {
  double const load = static_cast<double>(one.in_flight) / std::max(one.server.slots, 1U);
  double const bonus = one.groups.contains(need.group) ? k_group_bonus : 0.0;
  return slowness(one, now) * (1.0 + load) - bonus;
}

engine_entry const* engine_board::choose(run_requirements const& need, time_point now) {
  refresh_typical_gap(now);
  engine_entry const* best = nullptr;
  double best_cost = 0;
  auto const consider = [&](std::string const& id) -> engine_entry const* {
    ++examined_;
    engine_entry const* const one = find(id);
    if (one == nullptr || !can_run(*one, need, now)) return nullptr;
    double const cost = cost_of(*one, need, now);
    bool const better = best == nullptr || cost < best_cost ||
                        (cost == best_cost && one->server.id < best->server.id);
    if (better) {
      best = one;
      best_cost = cost;
    }
    return one;
  };
  for (std::string const& id : measured_) consider(id);
  auto const group = groups_.find(need.group);
  if (group != groups_.end()) {
    for (std::string const& id : group->second) consider(id);
  }
  std::uint64_t const least = need.exact_version.value_or(need.min_version);
  std::uint64_t const most = need.exact_version.value_or(std::numeric_limits<std::uint64_t>::max());
  // Of those that nothing else speaks for, the emptiest is the best.
  index_.visit_emptiest(need.model, least, most, [&](std::string const& id) {
    engine_entry const* const one = consider(id);
    return one != nullptr && !knows_gap(*one, now);
  });
  return best;
}

void engine_board::note_started(std::string const& id, std::uint64_t tokens,
                                std::string const& group) {
  engine_entry* const one = find_own(id);
  if (one == nullptr) return;
  ++one->in_flight;
  one->tokens_in_flight += tokens;
  ++one->groups[group];
  groups_[group].insert(id);
  file(*one);
}

void engine_board::note_ended(std::string const& id, std::uint64_t tokens,
                              std::string const& group) {
  engine_entry* const one = find_own(id);
  if (one == nullptr) return;
  if (one->in_flight > 0) --one->in_flight;
  one->tokens_in_flight -= std::min(tokens, one->tokens_in_flight);
  auto const held = one->groups.find(group);
  if (held != one->groups.end() && --held->second == 0) {
    one->groups.erase(held);
    leave_group(id, group);
  }
  file(*one);
}

void engine_board::leave_group(std::string const& id, std::string const& group) {
  auto const found = groups_.find(group);
  if (found == groups_.end()) return;
  found->second.erase(id);
  if (found->second.empty()) groups_.erase(found);
}

void engine_board::note_event_gap(std::string const& id, milliseconds gap, time_point now) {
  engine_entry* const one = find_own(id);
  if (one == nullptr) return;
  double const sample = static_cast<double>(gap.count());
  bool const fresh = one->event_gap_ms == 0 || now - one->gap_known_at > k_gap_memory;
  one->event_gap_ms =
      fresh ? sample : one->event_gap_ms + k_gap_smoothing * (sample - one->event_gap_ms);
  one->gap_known_at = now;
  measured_.insert(id);
}

void engine_board::note_failure(std::string const& id, time_point now) {
  engine_entry* const one = find_own(id);
  if (one == nullptr) return;
  auto const doublings = std::min(one->failures_in_row++, k_most_block_doublings);
  block(id, now + k_first_block * (1 << doublings));
}

void engine_board::note_success(std::string const& id) {
  engine_entry* const one = find_own(id);
  if (one != nullptr) one->failures_in_row = 0;
}

void engine_board::block(std::string const& id, time_point until) {
  engine_entry* const one = find_own(id);
  if (one != nullptr) one->blocked_until = std::max(one->blocked_until, until);
}

bool engine_board::knows_gap(engine_entry const& one, time_point now) const {
  return one.event_gap_ms > 0 && now - one.gap_known_at <= k_gap_memory;
}

void engine_board::refresh_typical_gap(time_point now) {
  if (now - typical_gap_at_ < k_typical_gap_interval) return;
  typical_gap_at_ = now;
  std::erase_if(measured_, [&](std::string const& id) {
    engine_entry const* const one = find(id);
    return one == nullptr || !knows_gap(*one, now);
  });
  std::vector<double> gaps;
  for (std::string const& id : measured_) gaps.push_back(find(id)->event_gap_ms);
  typical_gap_ms_ = 0;
  if (gaps.empty()) return;
  auto const middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  typical_gap_ms_ = *middle;
}

double engine_board::slowness(engine_entry const& one, time_point now) const {
  if (typical_gap_ms_ <= 0 || !knows_gap(one, now)) return 1.0;
  return std::max(one.event_gap_ms / typical_gap_ms_, 0.5);
}

milliseconds engine_board::gain_of_move(engine_entry const& from, run_requirements const& need,
                                        std::uint64_t events, time_point now) {
  refresh_typical_gap(now);
  double const own = slowness(from, now);
  if (own < k_move_ratio) return milliseconds(0);
  engine_entry const* const other = choose(need, now);
  // An engine that has not been used lately may be the slow one that was left.
  if (other == nullptr || other == &from || !knows_gap(*other, now)) return milliseconds(0);
  double const next = slowness(*other, now);
  if (own < k_move_ratio * next) return milliseconds(0);
  double const saved = (own - next) * typical_gap_ms_ * static_cast<double>(events);
  auto const gain = milliseconds(static_cast<std::int64_t>(saved));
  return gain < k_least_gain ? milliseconds(0) : gain;
}

}  // namespace frostline::engines
