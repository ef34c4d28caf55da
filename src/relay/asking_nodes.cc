#include "relay/asking_nodes.h"

#include <tuple>

namespace frostline::relay {
namespace {

/// A node asks again within 0.95 s (a question's wait and margin); one of these may be lost.
constexpr milliseconds k_longest_silence{2000};
/// Bounds what is remembered of nodes that are gone.
constexpr std::size_t k_most_nodes = 2000;

}  // namespace

void asking_nodes::note(asking_node one, time_point now) {
  if (one.node.empty()) return;
  std::erase_if(nodes_,
                [&](auto const& entry) { return now - entry.second.heard_at > k_longest_silence; });
  if (nodes_.size() >= k_most_nodes && !nodes_.contains(one.node)) return;
  std::string const name = one.node;
  nodes_[name] = heard_node{std::move(one), now};
}

std::optional<asking_node> asking_nodes::pick(std::string const& zone, time_point now) const {
  auto const rank = [](asking_node const& one) {
    return std::tuple(one.processor_share, -one.uptime);
  };
  asking_node const* best = nullptr;
  for (auto const& [name, heard] : nodes_) {
    bool const usable =
        heard.what.zone == zone && !heard.what.leaving && now - heard.heard_at <= k_longest_silence;
    if (!usable) continue;
    if (best == nullptr || rank(heard.what) > rank(*best)) best = &heard.what;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

}  // namespace frostline::relay
