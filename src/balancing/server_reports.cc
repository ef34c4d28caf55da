/// @file What servers state about their load, and what nodes tell each other about slow servers.

#include <algorithm>

#include "balancing/server_paces.h"

namespace frostline::balancing {

void server_paces::note_report(std::string const& server, std::string_view text, time_point now) {
  auto const report = parse_load_report(text);
  server_figures* const figures = report ? figures_of(server) : nullptr;
  if (figures == nullptr) {
    ++reports_ignored_;
    return;
  }
  ++reports_read_;
  figures->report = *report;
  figures->reported_at = now;
}

void server_paces::note_received(slow_server const& received, time_point now) {
  bool const valid = received.pace >= 1 && received.pace <= k_max_pace &&
                     received.age >= milliseconds(0) && received.age < k_received_time;
  server_figures* const figures = valid ? figures_of(received.id) : nullptr;
  if (figures == nullptr || figures->received_at >= now - received.age) return;
  figures->received_pace = received.pace;
  figures->received_at = now - received.age;
}

std::vector<slow_server> server_paces::slow_servers(time_point now) const {
  std::vector<slow_server> slow;
  for (auto const& [server, figures] : servers_) {
    bool const failing = figures.on_probation && is_failing(figures, now);
    if (!failing && measured_pace(figures, now) < k_reported_pace) continue;
    bool const is_received = figures.received_at > figures.own_at && !failing;
    double const pace = is_received ? figures.received_pace : figures.own_pace;
    time_point const measured_at = failing       ? figures.last_result_at
                                   : is_received ? figures.received_at
                                                 : figures.own_at;
    if (measured_at <= now - k_received_time) continue;
    slow.push_back({server, failing ? std::max(pace, k_failing_pace) : pace,
                    std::chrono::duration_cast<milliseconds>(now - measured_at)});
  }
  std::sort(slow.begin(), slow.end(), [](slow_server const& left, slow_server const& right) {
    if (left.pace != right.pace) return left.pace > right.pace;
    return left.id < right.id;
  });
  if (slow.size() > k_max_reported) slow.resize(k_max_reported);
  return slow;
}

}  // namespace frostline::balancing
