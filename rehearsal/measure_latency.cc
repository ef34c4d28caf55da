/// @file Measures the latency that a node adds, by alternating direct calls to an application
/// server with calls through the node, and the node's calls per second per core.

#include <algorithm>
#include <iostream>

#include "cluster.h"
#include "load/callers.h"
#include "process_cost.h"

namespace {

namespace json = boost::json;
using namespace frostline;
using frostline::testing::cluster;

constexpr int k_rounds = 20;
constexpr int k_calls_a_round = 200;
constexpr milliseconds k_timeout{5000};
constexpr std::uint32_t k_parallel = 32;
constexpr std::uint32_t k_saturating_calls = 40'000;

double time_call(rpc::blocking_client& client, endpoint const& server) {
  time_point const begin = boot_clock::now();
  auto const answer = client.exchange(server, http::make_get("/lookup/price"), k_timeout);
  std::chrono::duration<double, std::milli> const took = boot_clock::now() - begin;
  if (!answer || answer.value().result() != http::status::ok)
    throw std::runtime_error("call failed");
  return took.count();
}

awaitable<void> call_many(http::client& client, endpoint server, std::uint32_t calls,
                          std::uint32_t& open) {
  for (std::uint32_t call = 0; call < calls; ++call) {
    auto answer = co_await client.exchange(server, http::make_get("/lookup/price"), k_timeout);
    if (!answer) break;
  }
  --open;
}

void saturate(endpoint const& server) {
  asio::io_context context(1);
  http::client client(context);
  std::uint32_t open = k_parallel;
  for (std::uint32_t caller = 0; caller < k_parallel; ++caller) {
    spawn(context, call_many(client, server, k_saturating_calls / k_parallel, open));
  }
  context.run();
}

json::object measure() {
  testing::cluster_options options;
  options.nodes = 1;
  options.engines = 0;
  options.apps = 1;
  options.app_service_ms = 0;
  options.log_level = "warning";
  cluster system(testing::make_run_folder("frostline-latency"), options);
  system.put_route("lookup", "/lookup/", true);
  cluster::wait_until("the route is in force",
                      [&] { return system.status(0, true).routes.size() == 1; });
  rpc::blocking_client client;
  std::vector<double> direct;
  std::vector<double> through;
  for (int round = 0; round < k_rounds; ++round) {
    for (int call = 0; call < k_calls_a_round; ++call) {
      direct.push_back(time_call(client, system.app(0)));
      through.push_back(time_call(client, system.node(0)));
    }
  }
  pid_t const node = system.process("node-0").pid();
  double const cpu_before = testing::cpu_seconds(node);
  saturate(system.node(0));
  double const cpu = testing::cpu_seconds(node) - cpu_before;
  double const direct_p50 = load::percentile(direct, 0.5);
  double const direct_p99 = load::percentile(direct, 0.99);
  double const through_p50 = load::percentile(through, 0.5);
  double const through_p99 = load::percentile(through, 0.99);
  return {{"calls", direct.size()},
          {"direct_p50_ms", direct_p50},
          {"direct_p99_ms", direct_p99},
          {"through_p50_ms", through_p50},
          {"through_p99_ms", through_p99},
          {"ratio_p50", through_p50 / direct_p50},
          {"ratio_p99", through_p99 / direct_p99},
          {"calls_per_second_per_core", k_saturating_calls / cpu}};
}

}  // namespace

/// Prints one JSON object.
int main() {
  try {
    std::cout << json::serialize(measure()) << std::endl;
    return 0;
  } catch (std::exception const& failure) {
    std::cerr << "frostline-measure-latency: " << failure.what() << '\n';
    return 1;
  }
}
