/// @file How fast the servers of each service answer, and which of them are on probation. No I/O;
/// reads no clock.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancing/load_report.h"
#include "balancing/slow_server.h"
#include "base/time.h"
#include "directory/server_directory.h"

namespace frostline::balancing {

/// Requests whose response times can be compared.
struct work_kind {
  std::string_view service;
  std::string_view route;
};

struct server_standing {
  double pace = 1;
  /// Running and waiting requests by a fresh load report, at most twice the server's slots.
  std::uint32_t reported_load = 0;
  bool on_probation = false;
  /// On probation, and no request was sent to it for server_paces::k_probe_interval.
  bool is_probe_due = false;
};

struct pace_counters {
  std::uint64_t on_probation = 0;
  std::uint64_t probations = 0;
  std::uint64_t reports_read = 0;
  std::uint64_t reports_ignored = 0;
};

/// A server that was put on probation or released.
struct probation_change {
  std::string server;
  std::string service;
  bool begun = false;
  double pace = 1;
  /// Share of failed answers among the latest ones, in percent; 0 with too few answers.
  unsigned failed_percent = 0;
  /// Time since the newest measurement.
  milliseconds age{0};
  /// "failures", "time", "load report" or "other node"; for a release "recovered", "expired" or
  /// "limit" (others are worse, and the number of servers on probation is bounded).
  std::string_view cause;
};

/// The pace of a server is its average response time divided by the median of its service's
/// servers: 1 is typical, 2 takes twice as long. Times are compared for each route by itself, since
/// the requests of two routes may differ in work. Without recent measurements a pace is 1.
///
/// Medians, and who is on probation, are computed by `refresh`, at most every k_refresh_interval.
class server_paces {
 public:
  static constexpr double k_probation_pace = 2.0;
  /// Slower servers are reported to other nodes.
  static constexpr double k_reported_pace = 1.5;
  /// Pace reported for a server that is on probation for its failures.
  static constexpr double k_failing_pace = 10.0;
  static constexpr double k_max_pace = 100.0;
  /// Time after which measurements without a new response expire.
  static constexpr milliseconds k_measurement_time{6'000};
  /// Time after the measurement at which a pace from another node expires.
  static constexpr milliseconds k_received_time{4'000};
  static constexpr milliseconds k_report_time{250};
  static constexpr milliseconds k_refresh_interval{100};
  static constexpr milliseconds k_probe_interval{1'000};
  static constexpr std::size_t k_max_reported = 32;

  /// Notes a complete answer. A failed one counts as such, and its time is a lower bound, since a
  /// server may fail without doing the work.
  void note_answer(work_kind kind, std::string const& server, milliseconds took, bool failed,
                   time_point now);
  /// Notes an attempt whose time says nothing, such as an event stream.
  void note_result(std::string const& server, bool failed, time_point now);
  /// Notes an attempt that was abandoned after `so_far`, which its time exceeds.
  void note_late(work_kind kind, std::string const& server, milliseconds so_far, time_point now);
  /// Notes the load report of an answer. Malformed ones are counted and ignored.
  void note_report(std::string const& server, std::string_view text, time_point now);
  /// Notes what another node has measured. Ignored if its pace or age is out of bounds.
  void note_received(slow_server const& received, time_point now);

  /// Updates medians and probations if the last update is older than k_refresh_interval.
  /// @param ready the service's servers that accept requests, sorted by identifier.
  void refresh(std::string const& service, std::vector<directory::server const*> const& ready,
               time_point now);
  /// Returns the server's pace, multiplied by the percentage of a fresh load report. A percentage
  /// below 100 has no effect on a measured pace of k_probation_pace or more, so that a report alone
  /// cannot end a probation.
  double pace(std::string const& server, time_point now) const;
  /// Returns true if the last refresh put the server on probation.
  bool on_probation(std::string const& server) const;
  /// Returns what the selection of a server depends on, with a single look-up.
  /// @param slots of the server by the directory.
  server_standing standing(std::string const& server, std::uint32_t slots, time_point now) const;
  /// Notes that a request was sent to a server on probation.
  void note_probe(std::string const& server, time_point now);

  /// Servers with a pace of at least k_reported_pace, the slowest first, at most k_max_reported.
  /// Measurements older than k_received_time are left out.
  std::vector<slow_server> slow_servers(time_point now) const;
  /// Removes all that is known about a server.
  void forget(std::string const& server);
  /// Removes servers that have left the directory.
  void clean(directory::server_directory const& servers);
  /// Returns the changes since the last call; at most 8 are kept per second.
  std::vector<probation_change> take_changes();
  pace_counters counters() const;

 private:
  static constexpr std::size_t k_latest_results = 8;

  struct response_time {
    double average_ms = 0;
    time_point measured_at = time_point::min();
  };
  struct server_figures {
    /// Empty until the server was measured or seen as ready.
    std::string service;
    /// By route.
    std::map<std::string, response_time, std::less<>> times;
    std::bitset<k_latest_results> failures;
    std::size_t results = 0;
    time_point last_result_at = time_point::min();
    /// By this node's measurements, at the time of the newest.
    double own_pace = 1;
    time_point own_at = time_point::min();
    double received_pace = 1;
    time_point received_at = time_point::min();
    load_report report;
    time_point reported_at = time_point::min();
    bool on_probation = false;
    time_point last_probe_at = time_point::min();
  };
  struct service_state {
    time_point refreshed_at = time_point::min();
    /// Median of the servers' average times in milliseconds, by route.
    std::map<std::string, double, std::less<>> medians;
    /// Number of servers behind each median.
    std::map<std::string, std::size_t, std::less<>> measured;
  };
  struct suspect {
    double severity;
    std::string const* server;
    server_figures* figures;
  };

  server_figures* figures_of(std::string const& server);
  /// Returns null if too many routes are measured for the server.
  static response_time* time_of(server_figures& figures, work_kind kind, time_point now);
  void update_time(work_kind kind, server_figures& figures, milliseconds took, bool is_bound,
                   time_point now);
  void update_pace(server_figures& figures, time_point now);
  void update_medians(std::string_view service, service_state& state, time_point now);
  void add_result(server_figures& figures, bool failed, time_point now);
  static double measured_pace(server_figures const& figures, time_point now);
  static double full_pace(server_figures const& figures, time_point now);
  static double failed_share(server_figures const& figures, time_point now);
  static bool is_failing(server_figures const& figures, time_point now);
  static double severity(server_figures const& figures, time_point now);
  static std::string_view cause_of(server_figures const& figures, bool begun, time_point now);
  void change_probation(std::string const& server, server_figures& figures, bool begun,
                        time_point now);

  std::unordered_map<std::string, server_figures> servers_;
  std::map<std::string, service_state, std::less<>> services_;
  std::vector<probation_change> changes_;
  /// Start of the second in which `changes_in_second_` is counted.
  time_point second_began_at_ = time_point::min();
  std::size_t changes_in_second_ = 0;
  std::uint64_t probations_ = 0;
  std::uint64_t reports_read_ = 0;
  std::uint64_t reports_ignored_ = 0;
};

}  // namespace frostline::balancing
