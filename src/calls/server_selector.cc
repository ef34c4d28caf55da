#include "calls/server_selector.h"

#include <algorithm>
#include <limits>

namespace frostline::calls {
namespace {

constexpr milliseconds k_initial_backoff{400};
constexpr std::uint32_t k_max_backoff_doublings = 3;
constexpr milliseconds k_full_server_backoff{60};
/// How long after a fast answer the connection to the server is assumed to be open. Equals the
/// default idle timeout of pooled connections.
constexpr milliseconds k_warm_connection_time{20'000};

}  // namespace

double server_selector::fraction_of_range(std::uint64_t seed) {
  return static_cast<double>(seed) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

server_selector::rank server_selector::rank_of(directory::server const& server, time_point now) {
  ++compared_count_;
  auto const entry = states_.find(server.id);
  bool const in_backoff = entry != states_.end() && entry->second.backoff_until > now;
  std::uint32_t const outstanding = entry == states_.end() ? 0 : entry->second.outstanding;
  std::uint32_t const isolated = entry == states_.end() ? 0 : entry->second.isolated;
  double const load = static_cast<double>(outstanding) / std::max(server.slots, 1U);
  milliseconds idle_time = k_warm_connection_time;
  if (entry != states_.end() && entry->second.last_fast_answer_at > now - k_warm_connection_time) {
    idle_time = std::chrono::duration_cast<milliseconds>(now - entry->second.last_fast_answer_at);
  }
  return {in_backoff, isolated, load, server.zone != own_zone_, idle_time, random_()};
}

bool server_selector::has_free_slot(rank const& candidate) {
  auto const& [in_backoff, isolated, load, is_other_zone, idle_time, tie_breaker] = candidate;
  return !in_backoff && isolated == 0 && load < 1;
}

directory::server const* server_selector::pick(
    std::vector<directory::server const*> const& candidates, std::set<std::string> const& tried,
    time_point now) {
  directory::server const* best = nullptr;
  rank best_rank;
  std::size_t const count = candidates.size();
  auto const first = static_cast<std::size_t>(start_fraction_ * static_cast<double>(count));
  for (std::size_t step = 0; step < count; ++step) {
    bool const round_complete = step > 0 && step % k_candidates_per_round == 0;
    if (round_complete && best != nullptr && has_free_slot(best_rank)) break;
    directory::server const* const server = candidates[(first + step) % count];
    if (tried.contains(server->id)) continue;
    rank const candidate_rank = rank_of(*server, now);
    if (best != nullptr && candidate_rank >= best_rank) continue;
    best = server;
    best_rank = candidate_rank;
  }
  return best;
}

std::shared_ptr<void> server_selector::isolate(std::string const& server) {
  ++states_[server].isolated;
  return std::shared_ptr<void>(nullptr, [this, server](void*) {
    auto const entry = states_.find(server);
    if (entry != states_.end() && entry->second.isolated > 0) --entry->second.isolated;
  });
}

void server_selector::release(server_state& state) {
  if (state.outstanding > 0) --state.outstanding;
}

void server_selector::note_answer(std::string const& server) {
  server_state& state = states_[server];
  release(state);
  state.consecutive_failures = 0;
  state.last_fast_answer_at = time_point::min();
}

void server_selector::note_fast_answer(std::string const& server, time_point now) {
  note_answer(server);
  states_[server].last_fast_answer_at = now;
}

void server_selector::note_failure(std::string const& server, time_point now) {
  server_state& state = states_[server];
  release(state);
  state.last_fast_answer_at = time_point::min();
  auto const doublings = std::min(state.consecutive_failures++, k_max_backoff_doublings);
  state.backoff_until = now + k_initial_backoff * (1 << doublings);
}

void server_selector::note_abandoned(std::string const& server) { release(states_[server]); }

void server_selector::note_full(std::string const& server, time_point now) {
  server_state& state = states_[server];
  release(state);
  state.backoff_until = std::max(state.backoff_until, now + k_full_server_backoff);
}

void server_selector::note_restart(std::string const& server) {
  auto const entry = states_.find(server);
  if (entry == states_.end()) return;
  entry->second.consecutive_failures = 0;
  entry->second.backoff_until = time_point::min();
  entry->second.last_fast_answer_at = time_point::min();
}

void server_selector::clean(directory::server_directory const& servers) {
  std::erase_if(states_, [&](auto const& entry) {
    return entry.second.outstanding == 0 && entry.second.isolated == 0 &&
           servers.find(entry.first) == nullptr;
  });
}

std::uint32_t server_selector::outstanding(std::string const& server) const {
  auto const entry = states_.find(server);
  return entry == states_.end() ? 0 : entry->second.outstanding;
}

}  // namespace frostline::calls
