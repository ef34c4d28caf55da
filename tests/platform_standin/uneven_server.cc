#include "uneven_server.h"

#include <array>
#include <utility>

namespace frostline::testing {
namespace {

constexpr std::array<char const*, 9> k_malformed_reports{
    "", "3", "3,0", "3,0,0", "a,b,c", "3,0,8,", "3,0,8,250,7", "3;0;8", "3,0,8,nan"};

std::string to_text(server_load const& load) {
  return std::to_string(load.running) + "," + std::to_string(load.waiting) + "," +
         std::to_string(load.slots) + "," + std::to_string(load.percent);
}

/// Returns true if an alternating server is in the first half of its period.
bool is_first_half(uneven_faults const& faults, time_point now) {
  return (now.time_since_epoch() / faults.alternates_every) % 2 == 0;
}

}  // namespace

double uneven_server::work_factor(uneven_faults const& faults, time_point now) {
  bool const alternates = faults.alternates_every > milliseconds(0);
  return alternates && !is_first_half(faults, now) ? 1 : faults.work_factor;
}

bool uneven_server::fails(uneven_faults const& faults, std::string const& request, time_point now) {
  if (faults.fails_every == 0) return false;
  bool const alternates = faults.alternates_every > milliseconds(0);
  if (alternates && is_first_half(faults, now)) return false;
  if (++requests_ % faults.fails_every != 0) return false;
  return failed_.insert(request).second;
}

std::optional<std::string> uneven_server::report(uneven_faults const& faults,
                                                 server_load const& load) {
  server_load const previous = std::exchange(previous_load_, load);
  switch (faults.reports) {
    case load_report_kind::none:
      return std::nullopt;
    case load_report_kind::correct:
      return to_text(load);
    case load_report_kind::malformed:
      return k_malformed_reports[malformed_reports_++ % k_malformed_reports.size()];
    case load_report_kind::huge:
      return "99999999999999999999,1000001,4294967295,18446744073709551616";
    case load_report_kind::negative:
      return "-1,-3,-8,-250";
    case load_report_kind::late:
      return to_text(previous);
    case load_report_kind::wrong:
      return load.running > 0 ? to_text({0, 0, load.slots, 1})
                              : to_text({load.slots, load.slots, load.slots, 1000});
  }
  return std::nullopt;
}

}  // namespace frostline::testing
