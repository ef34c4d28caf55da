#include "process_cost.h"

#include <unistd.h>

#include <boost/filesystem.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace frostline::testing {
namespace {

/// Reads a field of /proc/PID/status that is in KiB.
double read_mib(pid_t process, std::string_view field) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string word;
  double kib = 0;
  while (file >> word) {
    if (word == field) file >> kib;
  }
  constexpr double k_kib_a_mib = 1024;
  return kib / k_kib_a_mib;
}

}  // namespace

double cpu_seconds(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string word;
  double ticks = 0;
  constexpr int k_user_time = 14;
  constexpr int k_system_time = 15;
  for (int field = 1; field <= k_system_time && file >> word; ++field) {
    if (field >= k_user_time) ticks += std::stod(word);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mib(pid_t process) { return read_mib(process, "VmRSS:"); }

double peak_resident_mib(pid_t process) { return read_mib(process, "VmHWM:"); }

std::size_t open_descriptors(pid_t process) {
  boost::filesystem::directory_iterator const all("/proc/" + std::to_string(process) + "/fd");
  return static_cast<std::size_t>(std::distance(all, boost::filesystem::directory_iterator()));
}

}  // namespace frostline::testing
