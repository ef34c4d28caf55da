/// @file Placement policies, which choose an engine for a sample. No I/O. To add a policy, derive
/// from `placement_policy` and register its name in `make_placement_policy`.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"

namespace frostline::rollout {

/// State of an engine as known to the owner of a shard.
struct engine_view {
  std::string id;
  /// Address of the node that controls the engine.
  std::string controller;
  std::string zone;
  /// Number of samples that the engine generates concurrently; 0 if it must not be used.
  std::uint32_t slots = 0;
  /// Samples of this shard that run on the engine.
  std::uint32_t in_flight = 0;
  /// The engine takes no samples before this time.
  time_point blocked_until = time_point::min();
};

/// Properties of a sample that a policy may use.
struct placement_request {
  /// Group of the sample. Samples of a group have the same prompt, so an engine that has cached it
  /// saves the prefill.
  std::uint64_t group = 0;
  /// Zone of the shard's owner.
  std::string zone;
};

class placement_policy {
 public:
  virtual ~placement_policy() = default;
  /// @param candidates must not be empty; each has a free slot and is not blocked.
  /// @return index of the chosen engine in `candidates`.
  virtual std::size_t choose(std::vector<engine_view const*> const& candidates,
                             placement_request const& request) = 0;
};

/// Creates the policy `name`: round_robin, least_loaded or prefix_affinity.
/// @return null if the name is unknown.
std::unique_ptr<placement_policy> make_placement_policy(std::string const& name,
                                                        std::uint64_t seed);

/// Applies the policy to the engines that have a free slot and are not blocked.
/// @return index into `engines`, or nullopt if no engine is available.
std::optional<std::size_t> place(placement_policy& policy, std::vector<engine_view> const& engines,
                                 placement_request const& request, time_point now);

}  // namespace frostline::rollout
