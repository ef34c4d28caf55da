#include "balancing/pace_allowance.h"

#include <algorithm>

#include "balancing/pace_exchange.h"

namespace frostline::balancing {
namespace {

/// A node that has not polled for this long no longer counts. Allows for one lost poll.
constexpr milliseconds k_max_silence{2000};
/// Bounds the work for each poll.
constexpr milliseconds k_sweep_interval{500};
/// Bounds the memory for names in polls.
constexpr std::size_t k_max_nodes = 2000;

double in_seconds(time_point::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void pace_allowance::drop_silent_nodes(time_point now) {
  if (now - swept_at_ < k_sweep_interval) return;
  swept_at_ = now;
  std::erase_if(shares_,
                [&](auto const& entry) { return now - entry.second.updated_at > k_max_silence; });
}

std::size_t pace_allowance::take(std::string const& node, std::size_t wanted, time_point now) {
  drop_silent_nodes(now);
  bool const is_new = !shares_.contains(node);
  if (is_new && shares_.size() >= k_max_nodes) return 0;
  share& own = shares_[node];
  double const rate = k_entries_per_second / static_cast<double>(shares_.size());
  double const most = std::clamp(rate * in_seconds(k_list_interval), 1.0 + k_list_cost,
                                 static_cast<double>(k_max_slow_servers + k_list_cost));
  double const earned = is_new ? most : rate * in_seconds(now - own.updated_at);
  own.entries = std::min(own.entries + earned, most);
  own.updated_at = now;
  std::size_t const sent = std::min(wanted, static_cast<std::size_t>(most) - k_list_cost);
  auto const cost = static_cast<double>(sent + k_list_cost);
  if (cost > own.entries) return 0;
  own.entries -= cost;
  return sent;
}

}  // namespace frostline::balancing
