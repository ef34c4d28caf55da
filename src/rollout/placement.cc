#include "rollout/placement.h"

#include <algorithm>

#include "base/encoding.h"

namespace frostline::rollout {
namespace {

/// Utilization (share of slots in use) from which the preferred engine is not used and the least
/// utilized engine is chosen instead.
constexpr double k_affinity_load_limit = 0.75;

double load_of(engine_view const& engine) {
  return engine.slots == 0 ? 1.0 : static_cast<double>(engine.in_flight) / engine.slots;
}

class round_robin final : public placement_policy {
 public:
  std::size_t choose(std::vector<engine_view const*> const& candidates,
                     placement_request const&) override {
    return next_++ % candidates.size();
  }

 private:
  std::size_t next_ = 0;
};

/// Chooses the least loaded engine. Ties are broken at random, so that the owners of different
/// shards do not all choose the same engine.
class least_loaded final : public placement_policy {
 public:
  explicit least_loaded(std::uint64_t seed) : random_(seed) {}

  std::size_t choose(std::vector<engine_view const*> const& candidates,
                     placement_request const&) override {
    std::size_t const start = random_() % candidates.size();
    std::size_t best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      std::size_t const index = (start + step) % candidates.size();
      if (load_of(*candidates[index]) < load_of(*candidates[best])) best = index;
    }
    return best;
  }

 private:
  std::mt19937_64 random_;
};

/// Chooses an engine by rendezvous hashing of the group, or the least loaded engine if the
/// utilization of the hashed engine has reached `k_affinity_load_limit`.
class prefix_affinity final : public placement_policy {
 public:
  explicit prefix_affinity(std::uint64_t seed) : fallback_(seed) {}

  std::size_t choose(std::vector<engine_view const*> const& candidates,
                     placement_request const& request) override {
    std::string const group = std::to_string(request.group);
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      std::uint64_t const weight = rendezvous_weight(group, candidates[index]->id);
      if (weight < best_weight) continue;
      best = index;
      best_weight = weight;
    }
    if (load_of(*candidates[best]) < k_affinity_load_limit) return best;
    return fallback_.choose(candidates, request);
  }

 private:
  least_loaded fallback_;
};

}  // namespace

std::unique_ptr<placement_policy> make_placement_policy(std::string const& name,
                                                        std::uint64_t seed) {
  if (name == "round_robin") return std::make_unique<round_robin>();
  if (name == "least_loaded") return std::make_unique<least_loaded>(seed);
  if (name == "prefix_affinity") return std::make_unique<prefix_affinity>(seed);
  return nullptr;
}

std::optional<std::size_t> place(placement_policy& policy, std::vector<engine_view> const& engines,
                                 placement_request const& request, time_point now) {
  std::vector<engine_view const*> candidates;
  std::vector<std::size_t> indices;
  for (std::size_t index = 0; index < engines.size(); ++index) {
    engine_view const& engine = engines[index];
    if (engine.blocked_until > now || engine.in_flight >= engine.slots) continue;
    candidates.push_back(&engine);
    indices.push_back(index);
  }
  if (candidates.empty()) return std::nullopt;
  return indices[policy.choose(candidates, request)];
}

}  // namespace frostline::rollout
