/// @file Fuzzes the parser of servers' load reports. A report that is accepted must be within its
/// limits, since the selection of servers relies on them.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "balancing/load_report.h"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  using frostline::balancing::load_report;
  std::string_view const text(reinterpret_cast<char const*>(data), size);
  auto const report = frostline::balancing::parse_load_report(text);
  if (!report) return 0;
  bool const within_limits =
      report->running <= load_report::k_max_value && report->waiting <= load_report::k_max_value &&
      report->slots >= 1 && report->slots <= load_report::k_max_value &&
      (!report->percentage || (*report->percentage >= load_report::k_min_percentage &&
                               *report->percentage <= load_report::k_max_percentage));
  if (!within_limits) std::abort();
  return 0;
}
