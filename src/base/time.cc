#include "base/time.h"

#include <time.h>

namespace frostline {

boot_clock::time_point boot_clock::now() noexcept {
  timespec since_start{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_start);
  return time_point(std::chrono::seconds(since_start.tv_sec) +
                    std::chrono::nanoseconds(since_start.tv_nsec));
}

}  // namespace frostline
