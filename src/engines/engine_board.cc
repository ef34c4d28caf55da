#include "engines/engine_board.h"

#include <algorithm>

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

void engine_board::begin_life(board_engine& one) {
  one.versions.clear();
  one.event_gap_ms = 0;
  one.blocked_until = time_point::min();
  one.failures_in_row = 0;
  one.load = load_state::idle;
  one.ordered_at = time_point{};
}

void engine_board::update(std::vector<directory::server const*> const& servers) {
  std::map<std::string, board_engine> next;
  for (directory::server const* server : servers) {
    auto known = engines_.extract(server->id);
    board_engine one = known.empty() ? board_engine() : std::move(known.mapped());
    if (one.server == *server) {
      next.emplace(server->id, std::move(one));
      continue;
    }
    if (server->born > one.server.born) begin_life(one);
    one.server = *server;
    for (auto const& [model, version] : server->models) {
      std::uint64_t& held = one.versions[model];
      held = std::max(held, version);
    }
    next.emplace(server->id, std::move(one));
  }
  engines_ = std::move(next);
}

board_engine* engine_board::find(std::string const& id) {
  auto const found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

bool engine_board::can_run(board_engine const& one, run_need const& need, time_point now) const {
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

board_engine* engine_board::choose(run_need const& need, time_point now) {
  refresh_typical_gap(now);
  board_engine* best = nullptr;
  double best_cost = 0;
  for (auto& [id, one] : engines_) {
    if (!can_run(one, need, now)) continue;
    double const load = static_cast<double>(one.in_flight) / std::max(one.server.slots, 1U);
    double const bonus = one.groups.contains(need.group) ? k_group_bonus : 0.0;
    double const cost = slowness(one, now) * (1.0 + load) - bonus;
    if (best != nullptr && cost >= best_cost) continue;
    best = &one;
    best_cost = cost;
  }
  return best;
}

void engine_board::note_started(std::string const& id, std::uint64_t tokens,
                                std::string const& group) {
  board_engine* const one = find(id);
  if (one == nullptr) return;
  ++one->in_flight;
  one->tokens_in_flight += tokens;
  ++one->groups[group];
}

void engine_board::note_ended(std::string const& id, std::uint64_t tokens,
                              std::string const& group) {
  board_engine* const one = find(id);
  if (one == nullptr) return;
  if (one->in_flight > 0) --one->in_flight;
  one->tokens_in_flight -= std::min(tokens, one->tokens_in_flight);
  auto const held = one->groups.find(group);
  if (held != one->groups.end() && --held->second == 0) one->groups.erase(held);
}

void engine_board::note_event_gap(std::string const& id, milliseconds gap, time_point now) {
  board_engine* const one = find(id);
  if (one == nullptr) return;
  double const sample = static_cast<double>(gap.count());
  bool const fresh = one->event_gap_ms == 0 || now - one->gap_known_at > k_gap_memory;
  one->event_gap_ms =
      fresh ? sample : one->event_gap_ms + k_gap_smoothing * (sample - one->event_gap_ms);
  one->gap_known_at = now;
}

void engine_board::note_failure(std::string const& id, time_point now) {
  board_engine* const one = find(id);
  if (one == nullptr) return;
  auto const doublings = std::min(one->failures_in_row++, k_most_block_doublings);
  block(id, now + k_first_block * (1 << doublings));
}

void engine_board::note_success(std::string const& id) {
  board_engine* const one = find(id);
  if (one != nullptr) one->failures_in_row = 0;
}

void engine_board::block(std::string const& id, time_point until) {
  board_engine* const one = find(id);
  if (one != nullptr) one->blocked_until = std::max(one->blocked_until, until);
}

bool engine_board::knows_gap(board_engine const& one, time_point now) const {
  return one.event_gap_ms > 0 && now - one.gap_known_at <= k_gap_memory;
}

void engine_board::refresh_typical_gap(time_point now) {
  if (now - typical_gap_at_ < k_typical_gap_interval) return;
  typical_gap_at_ = now;
  std::vector<double> gaps;
  for (auto const& [id, one] : engines_) {
    if (knows_gap(one, now)) gaps.push_back(one.event_gap_ms);
  }
  typical_gap_ms_ = 0;
  if (gaps.empty()) return;
  auto const middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  typical_gap_ms_ = *middle;
}

double engine_board::slowness(board_engine const& one, time_point now) const {
  if (typical_gap_ms_ <= 0 || !knows_gap(one, now)) return 1.0;
  return std::max(one.event_gap_ms / typical_gap_ms_, 0.5);
}

milliseconds engine_board::gain_of_move(board_engine const& from, run_need const& need,
                                        std::uint64_t events, time_point now) {
  refresh_typical_gap(now);
  double const own = slowness(from, now);
  if (own < k_move_ratio) return milliseconds(0);
  board_engine const* const other = choose(need, now);
  // An engine that has not been used lately may be the slow one that was left.
  if (other == nullptr || other == &from || !knows_gap(*other, now)) return milliseconds(0);
  double const next = slowness(*other, now);
  if (own < k_move_ratio * next) return milliseconds(0);
  double const saved = (own - next) * typical_gap_ms_ * static_cast<double>(events);
  auto const gain = milliseconds(static_cast<std::int64_t>(saved));
  return gain < k_least_gain ? milliseconds(0) : gain;
}

}  // namespace frostline::engines
