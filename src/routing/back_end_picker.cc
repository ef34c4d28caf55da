#include "routing/back_end_picker.h"

#include <algorithm>

namespace frostline::routing {
namespace {

constexpr std::uint32_t k_failures_to_eject = 3;
constexpr milliseconds k_first_ejection{500};
constexpr std::uint32_t k_max_ejection_doublings = 5;

}  // namespace

std::optional<std::string> back_end_picker::pick(std::vector<std::string> const& candidates,
                                                 std::set<std::string> const& tried,
                                                 time_point now) {
  std::vector<std::string> healthy;
  std::vector<std::string> ejected;
  for (std::string const& candidate : candidates) {
    if (tried.contains(candidate)) continue;
    (is_ejected(candidate, now) ? ejected : healthy).push_back(candidate);
  }
  std::vector<std::string> const& pool = healthy.empty() ? ejected : healthy;
  if (pool.empty()) return std::nullopt;
  std::string const& first = pool[random_() % pool.size()];
  std::string const& second = pool[random_() % pool.size()];
  return servers_[second].outstanding < servers_[first].outstanding ? second : first;
}

void back_end_picker::note_answer(std::string const& back_end) {
  server_state& server = servers_[back_end];
  if (server.outstanding > 0) --server.outstanding;
  server.failures_in_row = 0;
  server.ejections = 0;
}

void back_end_picker::note_failure(std::string const& back_end, time_point now) {
  server_state& server = servers_[back_end];
  if (server.outstanding > 0) --server.outstanding;
  if (++server.failures_in_row < k_failures_to_eject) return;
  server.failures_in_row = 0;
  auto const doublings = std::min(server.ejections++, k_max_ejection_doublings);
  server.ejected_until = now + k_first_ejection * (1 << doublings);
}

bool back_end_picker::is_ejected(std::string const& back_end, time_point now) const {
  auto const found = servers_.find(back_end);
  return found != servers_.end() && found->second.ejected_until > now;
}

}  // namespace frostline::routing
