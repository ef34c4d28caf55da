#include "cluster_queries.h"

#include <algorithm>

namespace frostline::testing {
namespace {

/// Counts the arrivals at one server. Call on the stand-ins' thread.
std::size_t count_at(server_standin const& server, std::string const& prefix, bool only_runs) {
  std::size_t count = 0;
  for (arrival const& entry : server.arrivals()) {
    bool const counts = entry.ran || !only_runs;
    if (counts && entry.request.starts_with(prefix)) ++count;
  }
  return count;
}

std::size_t count_at_all(platform_cluster& system, std::string const& prefix, bool only_runs) {
  return system.on_platform([&] {
    std::size_t count = 0;
    for (std::size_t index = 0; index < system.engines(); ++index) {
      count += count_at(system.engine(index), prefix, only_runs);
    }
    for (std::size_t index = 0; index < system.apps(); ++index) {
      count += count_at(system.app(index), prefix, only_runs);
    }
    return count;
  });
}

}  // namespace

platform_options with_many_servers() {
  platform_options options;
  options.engines = 4;
  options.apps = 4;
  options.zones = 3;
  options.event_gap = milliseconds(15);
  return options;
}

std::vector<time_point> poison_arrivals(platform_cluster& system) {
  std::vector<time_point> times = system.on_platform([&] {
    std::vector<time_point> all;
    auto const take = [&](server_standin const& from) {
      for (arrival const& entry : from.arrivals()) {
        if (entry.crashed) all.push_back(entry.at);
      }
    };
    for (std::size_t index = 0; index < system.apps(); ++index) take(system.app(index));
    for (std::size_t index = 0; index < system.engines(); ++index) take(system.engine(index));
    return all;
  });
  std::sort(times.begin(), times.end());
  return times;
}

std::size_t count_arrivals(platform_cluster& system, std::string const& prefix) {
  return count_at_all(system, prefix, false);
}

std::size_t count_runs(platform_cluster& system, std::string const& prefix) {
  return count_at_all(system, prefix, true);
}

std::size_t count_records(platform_cluster& system, std::string const& prefix) {
  return system.on_platform([&] {
    auto const& items = system.store().items();
    auto const count = std::count_if(items.begin(), items.end(), [&](auto const& entry) {
      return entry.first.starts_with(prefix);
    });
    return static_cast<std::size_t>(count);
  });
}

void set_engines_full(platform_cluster& system, bool full) {
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.engines(); ++index) {
      system.engine(index).faults().full = full;
    }
    return 0;
  });
}

void set_apps_full(platform_cluster& system, bool full) {
  system.on_platform([&] {
    for (std::size_t index = 0; index < system.apps(); ++index) {
      system.app(index).faults().full = full;
    }
    return 0;
  });
}

void set_store_silent(platform_cluster& system, bool silent) {
  system.on_platform([&] {
    system.store().faults().silent = silent;
    return 0;
  });
}

}  // namespace frostline::testing
