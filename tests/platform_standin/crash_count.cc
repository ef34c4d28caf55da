#include "crash_count.h"

#include <set>

namespace frostline::testing {

std::optional<time_point> time_of_crash(std::vector<poison_arrival> const& arrivals,
                                        std::size_t number) {
  std::set<std::string> ended;
  for (poison_arrival const& arrival : arrivals) {
    if (ended.insert(arrival.server).second && ended.size() == number) return arrival.at;
  }
  return std::nullopt;
}

}  // namespace frostline::testing
