#include "slow_server_faults.h"

#include <algorithm>

namespace frostline::testing {
namespace {

constexpr double k_work_factor = 8;
constexpr std::uint32_t k_fails_every = 2;
constexpr milliseconds k_alternates_every{300};

/// Changes `count` application servers, beginning with number `target`.
void change_apps(platform_cluster& system, std::size_t target, std::size_t count,
                 std::function<void(uneven_faults&)> const& change) {
  system.on_platform([&] {
    for (std::size_t index = 0; index < count; ++index) {
      change(system.app((target + index) % system.apps()).faults().uneven);
    }
    return 0;
  });
}

/// Two fifths of the application servers, at least one.
std::size_t slow_count(platform_cluster const& system) {
  return std::max<std::size_t>(1, system.apps() * 2 / 5);
}

soak_fault make_report_fault(platform_cluster& system, std::string name, load_report_kind first,
                             load_report_kind second) {
  return {std::move(name), [&system, first, second](bool on, std::size_t target) {
            load_report_kind const kind = target % 2 == 0 ? first : second;
            change_apps(system, target, slow_count(system), [&](uneven_faults& faults) {
              faults.reports = on ? kind : load_report_kind::correct;
            });
          }};
}

}  // namespace

std::vector<soak_fault> make_slow_server_faults(platform_cluster& system) {
  std::vector<soak_fault> faults;
  faults.push_back({"apps_slow", [&system](bool on, std::size_t target) {
                      change_apps(system, target, slow_count(system), [&](uneven_faults& app) {
                        app.work_factor = on ? k_work_factor : 1;
                      });
                    }});
  // A single server, so that a request with several attempts gets an answer.
  faults.push_back({"app_fails_partly", [&system](bool on, std::size_t target) {
                      change_apps(system, target, 1, [&](uneven_faults& app) {
                        app.fails_every = on ? k_fails_every : 0;
                      });
                    }});
  faults.push_back({"app_flaps", [&system](bool on, std::size_t target) {
                      change_apps(system, target, 1, [&](uneven_faults& app) {
                        app.work_factor = on ? k_work_factor : 1;
                        app.fails_every = on ? k_fails_every : 0;
                        app.alternates_every = on ? k_alternates_every : milliseconds(0);
                      });
                    }});
  faults.push_back(make_report_fault(system, "load_reports_lie", load_report_kind::wrong,
                                     load_report_kind::late));
  faults.push_back(make_report_fault(system, "load_reports_malformed", load_report_kind::malformed,
                                     load_report_kind::malformed));
  faults.push_back(make_report_fault(system, "load_reports_out_of_bounds", load_report_kind::huge,
                                     load_report_kind::negative));
  return faults;
}

}  // namespace frostline::testing
