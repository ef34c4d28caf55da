#include "calls/server_selector.h"

#include <algorithm>
#include <limits>

#include "base/log.h"

namespace frostline::calls {
namespace {

constexpr milliseconds k_initial_backoff{400};
constexpr std::uint32_t k_max_backoff_doublings = 3;
constexpr milliseconds k_full_server_backoff{60};
/// How long after a fast answer the connection to the server is assumed to be open. Equals the
/// default idle timeout of pooled connections.
constexpr milliseconds k_warm_connection_time{20'000};
/// Response times vary between requests, so a pace up to this has no effect.
constexpr double k_typical_pace = 1.25;
/// Probes that may be sent in a row after a time without any.
constexpr double k_max_probe_credit = 2;
constexpr std::string_view k_component = "calls";

}  // namespace

double server_selector::fraction_of_range(std::uint64_t seed) {
  return static_cast<double>(seed) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

server_selector::ranked_server server_selector::rank_server(directory::server const& server,
                                                            time_point now, bool by_pace) {
  ++compared_count_;
  auto const entry = states_.find(server.id);
  bool const in_backoff = entry != states_.end() && entry->second.backoff_until > now;
  std::uint32_t const outstanding = entry == states_.end() ? 0 : entry->second.outstanding;
  std::uint32_t const isolated = entry == states_.end() ? 0 : entry->second.isolated;
  balancing::server_standing standing;
  if (by_pace) standing = paces_.standing(server.id, server.slots, now);
  double load = static_cast<double>(std::max(outstanding, standing.reported_load)) /
                std::max(server.slots, 1U);
  milliseconds idle_time = k_warm_connection_time;
  if (entry != states_.end() && entry->second.last_fast_answer_at > now - k_warm_connection_time) {
    idle_time = std::chrono::duration_cast<milliseconds>(now - entry->second.last_fast_answer_at);
  }
  ranked_server ranked{&server,
                       {in_backoff, isolated, load, server.zone != own_zone_, idle_time, random_()},
                       false,
                       standing.on_probation,
                       standing.is_probe_due};
  ranked.has_free_slot = has_free_slot(ranked.key);
  if (standing.pace > k_typical_pace) std::get<double>(ranked.key) *= standing.pace;
  return ranked;
}

bool server_selector::has_free_slot(rank const& candidate) {
  auto const& [in_backoff, isolated, load, is_other_zone, idle_time, tie_breaker] = candidate;
  return !in_backoff && isolated == 0 && load < 1;
}

directory::server const* server_selector::pick(
    std::vector<directory::server const*> const& candidates, std::set<std::string> const& tried,
    time_point now, double probe_share) {
  bool const by_pace = avoids_slow_servers_() && !candidates.empty();
  if (by_pace) paces_.refresh(candidates.front()->service, candidates, now);
  if (by_pace) log_changes();
  contenders found;
  std::size_t const count = candidates.size();
  auto const first = static_cast<std::size_t>(start_fraction_ * static_cast<double>(count));
  for (std::size_t step = 0; step < count; ++step) {
    bool const round_complete = step > 0 && step % k_candidates_per_round == 0;
    if (round_complete && found.best.has_free_slot) break;
    directory::server const* const server = candidates[(first + step) % count];
    if (tried.contains(server->id)) continue;
    found.add(rank_server(*server, now, by_pace));
  }
  bool const probe_is_due = found.best.has_free_slot && found.probe.server != nullptr;
  bool const sends_probe = by_pace && may_probe(probe_share, probe_is_due);
  ranked_server const& selected = sends_probe ? found.probe : found.selected();
  if (selected.on_probation) paces_.note_probe(selected.server->id, now);
  return selected.server;
}

void server_selector::contenders::add(ranked_server const& candidate) {
  ranked_server& leader = candidate.on_probation ? best_on_probation : best;
  if (leader.server == nullptr || candidate.key < leader.key) leader = candidate;
  if (!candidate.is_probe_due || !candidate.has_free_slot) return;
  if (probe.server == nullptr || candidate.key < probe.key) probe = candidate;
}

server_selector::ranked_server const& server_selector::contenders::selected() const {
  if (best.has_free_slot || best_on_probation.server == nullptr) return best;
  if (best.server != nullptr && best.key < best_on_probation.key) return best;
  return best_on_probation;
}

bool server_selector::may_probe(double probe_share, bool wanted) {
  probe_credit_ = std::min(probe_credit_ + probe_share, k_max_probe_credit);
  // Requests that must not be probes have a share of 0.
  if (!wanted || probe_share <= 0 || probe_credit_ < 1) return false;
  probe_credit_ -= 1;
  return true;
}

void server_selector::log_changes() {
  for (balancing::probation_change const& change : paces_.take_changes()) {
    log_line(log_level::info, k_component,
             change.begun ? "Server put on probation." : "Server released from probation.",
             {{"server", change.server},
              {"service", change.service},
              {"pace_percent", static_cast<int>(change.pace * 100)},
              {"failed_percent", change.failed_percent},
              {"age_ms", change.age.count()},
              {"cause", change.cause}});
  }
}

balancing::pace_counters server_selector::pace_counters() const {
  balancing::pace_counters counters = paces_.counters();
  if (!avoids_slow_servers_()) counters.on_probation = 0;
  return counters;
}

std::vector<balancing::slow_server> server_selector::slow_servers(time_point now) const {
  if (!avoids_slow_servers_()) return {};
  return paces_.slow_servers(now);
}

void server_selector::note_received(balancing::slow_server const& received, time_point now) {
  if (avoids_slow_servers_()) paces_.note_received(received, now);
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
  paces_.forget(server);
  auto const entry = states_.find(server);
  if (entry == states_.end()) return;
  entry->second.consecutive_failures = 0;
  entry->second.backoff_until = time_point::min();
  entry->second.last_fast_answer_at = time_point::min();
}

void server_selector::clean(directory::server_directory const& servers) {
  paces_.clean(servers);
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
