/// @file Policies that choose an engine for a sample. Pure. To add one, derive from
/// `placement_policy` and name it in `make_placement_policy`.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::rollout {

/// An engine as a shard's owner sees it.
struct engine_view {
  std::string id;
  /// Address of the node that controls it.
  std::string controller;
  std::string zone;
  std::uint32_t slots = 0;
  /// Samples that this shard runs there.
  std::uint32_t in_flight = 0;
  /// Nothing is sent there before.
  time_point blocked_until = time_point::min();
};

/// What the choice may depend on.
struct placement_request {
  /// Samples of one group share a prompt, and so an engine's prefix cache.
  std::uint64_t group = 0;
  std::string zone;
};

class placement_policy {
 public:
  virtual ~placement_policy() = default;
  /// @param candidates not empty; each has a free slot and is not blocked.
  /// @return index of the chosen engine.
  virtual std::size_t choose(std::vector<engine_view const*> const& candidates,
                             placement_request const& request) = 0;
};

/// round_robin, least_loaded or prefix_affinity. @return null for another name.
std::unique_ptr<placement_policy> make_placement_policy(std::string const& name,
                                                        std::uint64_t seed);

/// Applies the policy to those engines that may take a sample now.
/// @return index into `engines`, or nothing if none may.
std::optional<std::size_t> place(placement_policy& policy, std::vector<engine_view> const& engines,
                                 placement_request const& request, time_point now);

}  // namespace frostline::rollout
