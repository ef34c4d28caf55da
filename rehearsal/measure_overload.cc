/// @file Measures how fast goodput recovers after an overload, for several limits. Callers, which
/// retry, send a base load with a spike of three times the capacity.

#include <fstream>
#include <iostream>

#include "cluster.h"
#include "http/json_fields.h"

namespace {

namespace json = boost::json;
using namespace frostline;
using testing::child_process;
using testing::cluster;

constexpr std::uint32_t k_apps = 2;
constexpr std::uint32_t k_app_slots = 8;
constexpr std::uint32_t k_service_ms = 20;
/// Calls per second that both application servers together can handle.
constexpr double k_capacity = 800;
constexpr int k_base_seconds = 14;
constexpr int k_spike_seconds = 4;
constexpr std::uint32_t k_deadline_ms = 500;

struct limits {
  std::string name;
  std::uint32_t concurrent = 0;
  std::uint32_t queued = 0;
  std::uint32_t retry_percent = 0;
};

void put_limited_route(cluster& system, limits const& route_limits) {
  rpc::PutRouteRequestT request;
  request.route = std::make_unique<rpc::RouteRecordT>();
  request.route->name = "lookup";
  request.route->path_prefix = "/lookup/";
  request.route->repeatable = true;
  request.route->backends = {cluster::app_name(0), cluster::app_name(1)};
  request.route->deadline_ms = k_deadline_ms;
  request.route->max_concurrent = route_limits.concurrent;
  request.route->max_queued = route_limits.queued;
  request.route->retry_budget_percent = route_limits.retry_percent;
  auto const answer = system.client().call<rpc::PutRouteRequestT, rpc::ChangeResponseT>(
      system.node(0), "OperatorService", "PutRoute", request, milliseconds(5000));
  if (!answer) throw std::runtime_error(answer.error().detail);
}

child_process start_callers(cluster& system, std::string const& name, double rate, int duration) {
  return system.start_load(
      name + ".log",
      {"callers", "--nodes=" + system.node(0).to_string(), "--rate=" + std::to_string(rate),
       "--seconds=" + std::to_string(duration), "--single_share=0",
       "--journal=" + system.journal_folder() + "/" + name + ".jsonl"});
}

/// Counts the responses with status 200 in each second since the first attempt.
std::vector<int> goodput_by_second(std::string const& path) {
  std::ifstream file(path);
  std::string line;
  std::vector<int> seconds;
  std::int64_t begin = 0;
  while (std::getline(file, line)) {
    auto const event = parse_json_object(line);
    if (!event || json_text(*event, "event") != "attempt") continue;
    std::int64_t const at = json_number(*event, "at_ms");
    if (begin == 0) begin = at;
    auto const second = static_cast<std::size_t>((at - begin) / 1000);
    if (seconds.size() <= second) seconds.resize(second + 1);
    if (json_number(*event, "status") == 200) ++seconds[second];
  }
  return seconds;
}

json::object measure(limits const& route_limits) {
  testing::cluster_options options;
  options.nodes = 1;
  options.engines = 0;
  options.apps = k_apps;
  options.app_slots = k_app_slots;
  options.app_service_ms = k_service_ms;
  options.log_level = "error";
  cluster system(testing::make_run_folder("frostline-overload"), options);
  put_limited_route(system, route_limits);
  cluster::wait_until("the route is in force",
                      [&] { return system.status(0, true).routes.size() == 1; });
  child_process base = start_callers(system, "base", k_capacity / 2, k_base_seconds);
  cluster::wait_until("the base load runs", [&] {
    return goodput_by_second(system.journal_folder() + "/base.jsonl").size() >= 4;
  });
  child_process spike = start_callers(system, "spike", k_capacity * 3, k_spike_seconds);
  spike.wait(60);
  auto const spike_end = goodput_by_second(system.journal_folder() + "/base.jsonl").size();
  base.wait(60);
  auto const seconds = goodput_by_second(system.journal_folder() + "/base.jsonl");
  double const normal = seconds.size() > 2 ? (seconds[1] + seconds[2]) / 2.0 : 0;
  std::size_t recovered = spike_end;
  while (recovered < seconds.size() && seconds[recovered] < 0.9 * normal) ++recovered;
  json::array series;
  for (int goodput : seconds) series.push_back(goodput);
  return {{"variant", route_limits.name},
          {"goodput_before", normal},
          {"second_of_spike_end", spike_end},
          {"seconds_to_90_percent", recovered - spike_end},
          {"base_goodput_by_second", std::move(series)}};
}

}  // namespace

/// Prints one JSON object per set of limits.
int main() {
  try {
    std::vector<limits> const variants = {
        {"no limits, retries without budget", 100'000, 100'000, 100},
        {"limits, retries without budget", 32, 64, 100},
        {"limits and budget (default share)", 32, 64, 10},
    };
    for (limits const& variant : variants)
      std::cout << json::serialize(measure(variant)) << std::endl;
    return 0;
  } catch (std::exception const& failure) {
    std::cerr << "frostline-measure-overload: " << failure.what() << '\n';
    return 1;
  }
}
