#include "routing/leaving_tracker.h"

#include <algorithm>

namespace frostline::routing {

std::string_view to_string(leaving_source source) {
  switch (source) {
    case leaving_source::machine_list:
      return "machine_list";
    case leaving_source::operator_drain:
      return "operator";
    case leaving_source::back_end:
      return "back_end";
  }
  return "unknown";
}

void leaving_tracker::mark(std::string const& back_end, std::uint64_t incarnation,
                           leaving_source source) {
  std::uint64_t& held = back_ends_[back_end].incarnations[source];
  held = std::max(held, incarnation);
}

void leaving_tracker::undo_operator_drain(std::string const& back_end) {
  auto const found = back_ends_.find(back_end);
  if (found == back_ends_.end()) return;
  found->second.incarnations.erase(leaving_source::operator_drain);
  if (found->second.incarnations.empty()) back_ends_.erase(found);
}

bool leaving_tracker::is_leaving(std::string const& back_end, std::uint64_t listed_incarnation,
                                 std::optional<std::uint64_t> reported_incarnation) const {
  auto const found = back_ends_.find(back_end);
  if (found == back_ends_.end()) return false;
  auto const& incarnations = found->second.incarnations;
  return std::any_of(incarnations.begin(), incarnations.end(), [&](auto const& mark) {
    if (mark.first != leaving_source::back_end) return listed_incarnation <= mark.second;
    return reported_incarnation.has_value() && *reported_incarnation <= mark.second;
  });
}

std::vector<leaving_entry> leaving_tracker::entries() const {
  std::vector<leaving_entry> all;
  for (auto const& [back_end, held] : back_ends_) {
    for (auto const& [source, incarnation] : held.incarnations) {
      all.push_back({back_end, incarnation, source});
    }
  }
  return all;
}

}  // namespace frostline::routing
