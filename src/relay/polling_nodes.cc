#include "relay/polling_nodes.h"

#include <tuple>

namespace frostline::relay {
namespace {

/// A node that has not polled for this long is ignored. Allows for one lost poll.
constexpr milliseconds k_max_silence{2000};
/// Bounds the memory for nodes that no longer run.
constexpr std::size_t k_max_nodes = 2000;

}  // namespace

void polling_nodes::note(polling_node node, time_point now) {
  if (node.node.empty()) return;
  std::erase_if(nodes_,
                [&](auto const& entry) { return now - entry.second.heard_at > k_max_silence; });
  if (nodes_.size() >= k_max_nodes && !nodes_.contains(node.node)) return;
  std::string const name = node.node;
  nodes_[name] = known_node{std::move(node), now};
}

std::optional<polling_node> polling_nodes::pick(std::string const& zone, time_point now) const {
  auto const rank = [](polling_node const& node) {
    return std::tuple(node.processor_share, -node.uptime);
  };
  polling_node const* best = nullptr;
  for (auto const& [name, entry] : nodes_) {
    bool const usable =
        entry.node.zone == zone && !entry.node.leaving && now - entry.heard_at <= k_max_silence;
    if (!usable) continue;
    if (best == nullptr || rank(entry.node) > rank(*best)) best = &entry.node;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

}  // namespace frostline::relay
