#include "calls/server_selector.h"

#include <algorithm>
#include <limits>

namespace frostline::calls {
namespace {

constexpr milliseconds k_first_avoidance{400};
constexpr std::uint32_t k_most_doublings = 3;
constexpr milliseconds k_full_avoidance{60};
/// For that long a connection is taken to be open: as long as it is kept here when a server does
/// not say for how long it keeps it.
constexpr milliseconds k_connection_memory{20'000};

}  // namespace

double server_selector::part_of_range(std::uint64_t seed) {
  return static_cast<double>(seed) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

server_selector::rank server_selector::rank_of(directory::server const& one, time_point now) {
  ++compared_;
  auto const known = states_.find(one.id);
  bool const avoided = known != states_.end() && known->second.avoided_until > now;
  std::uint32_t const outstanding = known == states_.end() ? 0 : known->second.outstanding;
  std::uint32_t const isolated = known == states_.end() ? 0 : known->second.isolated;
  double const load = static_cast<double>(outstanding) / std::max(one.slots, 1U);
  milliseconds rested = k_connection_memory;
  if (known != states_.end() && known->second.swift_at > now - k_connection_memory) {
    rested = std::chrono::duration_cast<milliseconds>(now - known->second.swift_at);
  }
  return {avoided, isolated, load, one.zone != own_zone_, rested, random_()};
}

bool server_selector::has_free_place(rank const& one) {
  auto const& [avoided, isolated, load, other_zone, rested, chance] = one;
  return !avoided && isolated == 0 && load < 1;
}

directory::server const* server_selector::pick(
    std::vector<directory::server const*> const& candidates, std::set<std::string> const& tried,
    time_point now) {
  directory::server const* best = nullptr;
  rank best_rank;
  std::size_t const count = candidates.size();
  auto const first = static_cast<std::size_t>(first_ * static_cast<double>(count));
  for (std::size_t step = 0; step < count; ++step) {
    bool const enough = step > 0 && step % k_compared == 0;
    if (enough && best != nullptr && has_free_place(best_rank)) break;
    directory::server const* const one = candidates[(first + step) % count];
    if (tried.contains(one->id)) continue;
    rank const own = rank_of(*one, now);
    if (best != nullptr && own >= best_rank) continue;
    best = one;
    best_rank = own;
  }
  return best;
}

std::shared_ptr<void> server_selector::isolate(std::string const& server) {
  ++states_[server].isolated;
  return std::shared_ptr<void>(nullptr, [this, server](void*) {
    auto const known = states_.find(server);
    if (known != states_.end() && known->second.isolated > 0) --known->second.isolated;
  });
}

void server_selector::release(server_state& state) {
  if (state.outstanding > 0) --state.outstanding;
}

void server_selector::note_answer(std::string const& server) {
  server_state& state = states_[server];
  release(state);
  state.failures_in_row = 0;
  state.swift_at = time_point::min();
}

void server_selector::note_swift_answer(std::string const& server, time_point now) {
  note_answer(server);
  states_[server].swift_at = now;
}

void server_selector::note_failure(std::string const& server, time_point now) {
  server_state& state = states_[server];
  release(state);
  state.swift_at = time_point::min();
  auto const doublings = std::min(state.failures_in_row++, k_most_doublings);
  state.avoided_until = now + k_first_avoidance * (1 << doublings);
}

void server_selector::note_abandoned(std::string const& server) { release(states_[server]); }

void server_selector::note_full(std::string const& server, time_point now) {
  server_state& state = states_[server];
  release(state);
  state.avoided_until = std::max(state.avoided_until, now + k_full_avoidance);
}

void server_selector::note_new_life(std::string const& server) {
  auto const known = states_.find(server);
  if (known == states_.end()) return;
  known->second.failures_in_row = 0;
  known->second.avoided_until = time_point::min();
  known->second.swift_at = time_point::min();
}

void server_selector::clean(directory::server_directory const& servers) {
  std::erase_if(states_, [&](auto const& entry) {
    return entry.second.outstanding == 0 && entry.second.isolated == 0 &&
           servers.find(entry.first) == nullptr;
  });
}

std::uint32_t server_selector::outstanding(std::string const& server) const {
  auto const known = states_.find(server);
  return known == states_.end() ? 0 : known->second.outstanding;
}

}  // namespace frostline::calls
