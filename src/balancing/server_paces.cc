#include "balancing/server_paces.h"

#include <algorithm>
#include <utility>

namespace frostline::balancing {
namespace {

constexpr double k_new_response_weight = 0.3;
/// With fewer measured servers their median is no base for the first response of another one.
constexpr std::size_t k_min_measured_servers = 3;
constexpr std::size_t k_min_results = 4;
constexpr double k_failing_share = 0.5;
/// If more servers are slow than may be on probation, another one replaces one of them only if it
/// is slower by this factor. Paces decay during a probation, so servers that are equally slow would
/// take turns otherwise.
constexpr double k_probation_preference = 1.5;
/// Bounds of the memory in use. The largest service known has 7,777 servers.
constexpr std::size_t k_max_servers = 16'384;
constexpr std::size_t k_max_routes = 8;
/// A server whose pace is near the limit may change often.
constexpr std::size_t k_max_changes_per_second = 8;

bool is_fresh(time_point at, milliseconds lifetime, time_point now) { return at > now - lifetime; }

/// Returns the part of a measurement's lifetime that is left; 0 if it has expired.
double freshness(time_point at, milliseconds lifetime, time_point now) {
  if (!is_fresh(at, lifetime, now)) return 0;
  std::chrono::duration<double, std::milli> const age = now - at;
  return std::min(1.0, 1.0 - age.count() / static_cast<double>(lifetime.count()));
}

}  // namespace

server_paces::server_figures* server_paces::figures_of(std::string const& server) {
  auto const entry = servers_.find(server);
  if (entry != servers_.end()) return &entry->second;
  if (servers_.size() >= k_max_servers) return nullptr;
  return &servers_[server];
}

void server_paces::note_answer(work_kind kind, std::string const& server, milliseconds took,
                               bool failed, time_point now) {
  server_figures* const figures = figures_of(server);
  if (figures == nullptr) return;
  add_result(*figures, failed, now);
  update_time(kind, *figures, took, failed, now);
}

void server_paces::note_result(std::string const& server, bool failed, time_point now) {
  if (server_figures* const figures = figures_of(server)) add_result(*figures, failed, now);
}

void server_paces::note_late(work_kind kind, std::string const& server, milliseconds so_far,
                             time_point now) {
  if (server_figures* const figures = figures_of(server))
    update_time(kind, *figures, so_far, true, now);
}

void server_paces::add_result(server_figures& figures, bool failed, time_point now) {
  if (!is_fresh(figures.last_result_at, k_measurement_time, now)) figures.results = 0;
  if (figures.results == 0) figures.failures.reset();
  figures.failures <<= 1;
  figures.failures[0] = failed;
  figures.results = std::min(figures.results + 1, k_latest_results);
  figures.last_result_at = now;
}

server_paces::response_time* server_paces::time_of(server_figures& figures, work_kind kind,
                                                   time_point now) {
  figures.service = kind.service;
  auto const entry = figures.times.find(kind.route);
  if (entry != figures.times.end()) return &entry->second;
  if (figures.times.size() >= k_max_routes) {
    std::erase_if(figures.times, [&](auto const& other) {
      return !is_fresh(other.second.measured_at, k_measurement_time, now);
    });
  }
  if (figures.times.size() >= k_max_routes) return nullptr;
  return &figures.times[std::string(kind.route)];
}

void server_paces::update_time(work_kind kind, server_figures& figures, milliseconds took,
                               bool is_bound, time_point now) {
  response_time* const time = time_of(figures, kind, now);
  if (time == nullptr) return;
  double const took_ms = std::max(1.0, static_cast<double>(took.count()));
  service_state& state = services_.try_emplace(std::string(kind.service)).first->second;
  auto const median = state.medians.find(kind.route);
  bool const has_own = is_fresh(time->measured_at, k_measurement_time, now);
  bool const has_base = median != state.medians.end() &&
                        (is_bound || state.measured[median->first] >= k_min_measured_servers);
  // A lower bound without anything to compare it with says nothing.
  if (is_bound && !has_own && !has_base) return;
  double const base = has_own ? time->average_ms : (has_base ? median->second : took_ms);
  if (is_bound && took_ms <= base) return;
  time->average_ms = base + k_new_response_weight * (took_ms - base);
  time->measured_at = now;
  if (median == state.medians.end()) update_medians(kind.service, state, now);
  update_pace(figures, now);
}

void server_paces::update_pace(server_figures& figures, time_point now) {
  auto const state = services_.find(figures.service);
  if (state == services_.end()) return;
  double sum = 0;
  double weights = 0;
  for (auto const& [route, time] : figures.times) {
    double const weight = freshness(time.measured_at, k_measurement_time, now);
    auto const median = state->second.medians.find(route);
    if (weight <= 0 || median == state->second.medians.end()) continue;
    sum += weight * time.average_ms / median->second;
    weights += weight;
    figures.own_at = std::max(figures.own_at, time.measured_at);
  }
  if (weights > 0) figures.own_pace = std::min(sum / weights, k_max_pace);
}

void server_paces::update_medians(std::string_view service, service_state& state, time_point now) {
  std::map<std::string, std::vector<double>, std::less<>> averages;
  for (auto const& [server, figures] : servers_) {
    if (figures.service != service) continue;
    for (auto const& [route, time] : figures.times) {
      if (is_fresh(time.measured_at, k_measurement_time, now))
        averages[route].push_back(time.average_ms);
    }
  }
  state.medians.clear();
  state.measured.clear();
  for (auto& [route, values] : averages) {
    // The lower of two middle values, so that the slower of two servers is recognized.
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    state.medians[route] = *middle;
    state.measured[route] = values.size();
  }
}

void server_paces::refresh(std::string const& service,
                           std::vector<directory::server const*> const& ready, time_point now) {
  service_state& state = services_[service];
  if (is_fresh(state.refreshed_at, k_refresh_interval, now)) return;
  state.refreshed_at = now;
  update_medians(service, state, now);
  std::vector<suspect> suspects;
  for (auto& [server, figures] : servers_) {
    if (!figures.service.empty() && figures.service != service) continue;
    auto const place = std::lower_bound(
        ready.begin(), ready.end(), server,
        [](directory::server const* entry, std::string const& id) { return entry->id < id; });
    bool const is_ready = place != ready.end() && (*place)->id == server;
    if (is_ready) figures.service = service;
    if (is_ready) update_pace(figures, now);
    double const level = is_ready ? severity(figures, now) : 0;
    if (level >= k_probation_pace) {
      double const rank = figures.on_probation ? level * k_probation_preference : level;
      suspects.push_back({rank, &server, &figures});
    } else if (figures.on_probation) {
      change_probation(server, figures, false, now);
    }
  }
  std::sort(suspects.begin(), suspects.end(), [](suspect const& left, suspect const& right) {
    if (left.severity != right.severity) return left.severity > right.severity;
    return *left.server < *right.server;
  });
  std::size_t const limit = ready.size() < 2 ? 0 : std::max<std::size_t>(ready.size() / 3, 1);
  for (std::size_t index = 0; index < suspects.size(); ++index) {
    suspect const& entry = suspects[index];
    bool const begins = index < limit;
    if (begins != entry.figures->on_probation)
      change_probation(*entry.server, *entry.figures, begins, now);
  }
}

void server_paces::change_probation(std::string const& server, server_figures& figures, bool begun,
                                    time_point now) {
  figures.on_probation = begun;
  if (begun) ++probations_;
  if (begun) figures.last_probe_at = now;
  if (!is_fresh(second_began_at_, seconds(1), now)) {
    second_began_at_ = now;
    changes_in_second_ = 0;
  }
  if (++changes_in_second_ > k_max_changes_per_second) return;
  time_point const newest = std::max({figures.last_result_at, figures.own_at, figures.received_at});
  milliseconds age = k_measurement_time;
  if (is_fresh(newest, k_measurement_time, now))
    age = std::chrono::duration_cast<milliseconds>(now - newest);
  auto const failed_percent = static_cast<unsigned>(failed_share(figures, now) * 100);
  changes_.push_back({server, figures.service, begun, full_pace(figures, now), failed_percent, age,
                      cause_of(figures, begun, now)});
}

std::string_view server_paces::cause_of(server_figures const& figures, bool begun, time_point now) {
  bool const is_slow = severity(figures, now) >= k_probation_pace;
  if (!begun && is_slow) return "limit";
  bool const measured = is_fresh(figures.last_result_at, k_measurement_time, now) ||
                        is_fresh(figures.own_at, k_measurement_time, now);
  if (!begun) return measured ? "recovered" : "expired";
  if (is_failing(figures, now)) return "failures";
  if (measured_pace(figures, now) < k_probation_pace) return "load report";
  return figures.received_at > figures.own_at ? "other node" : "time";
}

double server_paces::measured_pace(server_figures const& figures, time_point now) {
  bool const is_received =
      figures.received_at > figures.own_at && is_fresh(figures.received_at, k_received_time, now);
  if (is_received) {
    return 1 + (figures.received_pace - 1) * freshness(figures.received_at, k_received_time, now);
  }
  return 1 + (figures.own_pace - 1) * freshness(figures.own_at, k_measurement_time, now);
}

double server_paces::full_pace(server_figures const& figures, time_point now) {
  double const measured = measured_pace(figures, now);
  bool const fresh = is_fresh(figures.reported_at, k_report_time, now);
  if (!fresh || !figures.report.percentage) return measured;
  double const factor = static_cast<double>(*figures.report.percentage) / 100;
  if (factor < 1 && measured >= k_probation_pace) return measured;
  return measured * factor;
}

double server_paces::failed_share(server_figures const& figures, time_point now) {
  bool const enough = figures.results >= k_min_results;
  if (!enough || !is_fresh(figures.last_result_at, k_measurement_time, now)) return 0;
  return static_cast<double>(figures.failures.count()) / static_cast<double>(figures.results);
}

bool server_paces::is_failing(server_figures const& figures, time_point now) {
  return failed_share(figures, now) >= k_failing_share;
}

double server_paces::severity(server_figures const& figures, time_point now) {
  double const pace = full_pace(figures, now);
  return is_failing(figures, now) ? std::max(pace, k_failing_pace) : pace;
}

double server_paces::pace(std::string const& server, time_point now) const {
  auto const entry = servers_.find(server);
  return entry == servers_.end() ? 1 : full_pace(entry->second, now);
}

bool server_paces::on_probation(std::string const& server) const {
  auto const entry = servers_.find(server);
  return entry != servers_.end() && entry->second.on_probation;
}

server_standing server_paces::standing(std::string const& server, std::uint32_t slots,
                                       time_point now) const {
  auto const entry = servers_.find(server);
  if (entry == servers_.end()) return {};
  server_figures const& figures = entry->second;
  server_standing standing{full_pace(figures, now), 0, figures.on_probation, false};
  if (is_fresh(figures.reported_at, k_report_time, now))
    standing.reported_load = std::min(figures.report.running + figures.report.waiting, 2 * slots);
  standing.is_probe_due =
      figures.on_probation && !is_fresh(figures.last_probe_at, k_probe_interval, now);
  return standing;
}

void server_paces::note_probe(std::string const& server, time_point now) {
  auto const entry = servers_.find(server);
  if (entry != servers_.end()) entry->second.last_probe_at = now;
}

void server_paces::forget(std::string const& server) { servers_.erase(server); }

void server_paces::clean(directory::server_directory const& servers) {
  std::erase_if(servers_, [&](auto const& entry) { return servers.find(entry.first) == nullptr; });
}

std::vector<probation_change> server_paces::take_changes() { return std::exchange(changes_, {}); }

pace_counters server_paces::counters() const {
  auto const on_probation = std::count_if(servers_.begin(), servers_.end(), [](auto const& entry) {
    return entry.second.on_probation;
  });
  return {static_cast<std::uint64_t>(on_probation), probations_, reports_read_, reports_ignored_};
}

}  // namespace frostline::balancing
