#include "quarantine/undecided_runs.h"

#include <utility>

namespace frostline::quarantine {

void undecided_runs::add(directory::server const& server, crash run, time_point now) {
  runs_.push_back({server, std::move(run), now});
  if (runs_.size() > k_max_runs) runs_.pop_front();
}

std::vector<crash> undecided_runs::extract_replaced(
    std::function<bool(directory::server const&)> const& is_superseded) {
  std::vector<crash> found;
  std::erase_if(runs_, [&](undecided_run const& entry) {
    if (!is_superseded(entry.server)) return false;
    found.push_back(entry.run);
    return true;
  });
  return found;
}

void undecided_runs::drop_leaving(std::function<bool(directory::server const&)> const& is_leaving) {
  std::erase_if(runs_, [&](undecided_run const& entry) { return is_leaving(entry.server); });
}

void undecided_runs::expire(time_point now) {
  std::erase_if(runs_,
                [&](undecided_run const& entry) { return entry.added_at + k_retention <= now; });
}

}  // namespace frostline::quarantine
