#include "scheduling/event_ratios.h"

#include <algorithm>

namespace frostline::scheduling {
namespace {

/// With fewer completed runs, a model's ratio is unknown. Single hints are often far off.
constexpr std::size_t k_min_samples = 7;

}  // namespace

void event_ratios::note_completed(std::string const& model, std::uint64_t length_hint,
                                  std::uint64_t events) {
  if (length_hint == 0 || events == 0) return;
  model_ratios& ratios = models_[model];
  ratios.samples[ratios.next] = static_cast<float>(events) / static_cast<float>(length_hint);
  ratios.next = (ratios.next + 1) % k_samples;
  ratios.count = std::min(ratios.count + 1, k_samples);
  if (ratios.count < k_min_samples) return;
  // Hints match the median length, so the median ratio is that of exact hints. The mean would be
  // higher, since lengths are heavy-tailed.
  auto sorted = ratios.samples;
  auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(ratios.count / 2);
  std::nth_element(sorted.begin(), middle,
                   sorted.begin() + static_cast<std::ptrdiff_t>(ratios.count));
  ratios.median = static_cast<double>(*middle);
}

double event_ratios::events_for(std::string const& model, std::uint64_t tokens) const {
  auto const found = models_.find(model);
  return found == models_.end() ? 0 : found->second.median * static_cast<double>(tokens);
}

}  // namespace frostline::scheduling
