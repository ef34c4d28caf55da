#include "load/emulation.h"

#include <sys/resource.h>
#include <time.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <set>
#include <vector>

#include "http/json_fields.h"
#include "http/server.h"
#include "node/node.h"
#include "rpc/blocking.h"
#include "standin/engine_group.h"

namespace frostline::load {
namespace {

namespace json = boost::json;

constexpr rlim_t k_open_files = 65'536;
constexpr milliseconds k_register_timeout{10'000};

/// Hundreds of nodes need more sockets than the default limit allows.
void raise_file_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, k_open_files);
  setrlimit(RLIMIT_NOFILE, &limit);
}

double thread_cpu_seconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Resident memory of this process in KiB.
std::uint64_t resident_kib() {
  std::ifstream status("/proc/self/status");
  std::string word;
  std::uint64_t size = 0;
  while (status >> word) {
    if (word == "VmRSS:") status >> size;
  }
  return size;
}

bool register_machine(rpc::blocking_client& client, endpoint const& list,
                      json::object const& machine) {
  auto const answer =
      client.exchange(list, http::make_post("/v1/machines", json::serialize(machine), http::k_json),
                      k_register_timeout);
  return answer && answer.value().result() == http::status::ok;
}

/// Returns a free port of `address` that was not returned before.
endpoint free_endpoint(asio::io_context& context, std::string const& address) {
  static std::set<endpoint> allocated;
  while (true) {
    tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address(address), 0));
    endpoint found{address, probe.local_endpoint().port()};
    if (allocated.insert(found).second) return found;
  }
}

struct value_range {
  std::uint64_t sum = 0;
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t highest = 0;

  void add(std::uint64_t value) {
    sum += value;
    lowest = std::min(lowest, value);
    highest = std::max(highest, value);
  }
};

json::object report(std::vector<std::unique_ptr<node::node>> const& nodes) {
  value_range gossip_sent;
  value_range gossip_received;
  value_range http_sent;
  value_range http_received;
  value_range kv_operations;
  value_range revision;
  value_range alive;
  value_range controlled;
  value_range ready;
  std::uint64_t serving = 0;
  for (auto const& emulated : nodes) {
    node::node_counters const counters = emulated->counters();
    gossip_sent.add(counters.gossip_bytes_sent);
    gossip_received.add(counters.gossip_bytes_received);
    http_sent.add(counters.http_bytes_sent);
    http_received.add(counters.http_bytes_received);
    kv_operations.add(counters.kv_operations);
    revision.add(counters.config_revision);
    alive.add(counters.members_alive);
    controlled.add(counters.engines_controlled);
    ready.add(counters.engines_ready);
    if (counters.state == node::node_state::serving) ++serving;
  }
  return {{"nodes", nodes.size()},
          {"serving", serving},
          {"cpu_seconds", thread_cpu_seconds()},
          {"resident_kib", resident_kib()},
          {"gossip_bytes_sent", gossip_sent.sum},
          {"gossip_bytes_received", gossip_received.sum},
          {"http_bytes_sent", http_sent.sum},
          {"http_bytes_received", http_received.sum},
          {"kv_operations", kv_operations.sum},
          {"config_revision_lowest", revision.lowest},
          {"config_revision_highest", revision.highest},
          {"members_alive_lowest", alive.lowest},
          {"members_alive_highest", alive.highest},
          {"engines_controlled", controlled.sum},
          {"engines_controlled_highest", controlled.highest},
          {"engines_ready", ready.sum}};
}

node::settings node_settings(emulation_options const& options, std::uint32_t index,
                             asio::io_context& context) {
  node::settings settings;
  settings.id = "node-" + std::to_string(options.first + index);
  settings.zone = options.zone;
  settings.listen = free_endpoint(context, options.control.address);
  settings.gossip = free_endpoint(context, options.control.address);
  settings.kv = {options.kv};
  settings.machines = options.machines;
  bool const disk = !options.data_folder.empty() && index < options.disk_nodes;
  if (disk) settings.data_folder = options.data_folder + "/" + settings.id;
  return settings;
}

}  // namespace

int run_emulated_nodes(emulation_options const& options) {
  raise_file_limit();
  asio::io_context context(1);
  rpc::blocking_client client;
  std::vector<std::unique_ptr<node::node>> nodes;
  for (std::uint32_t index = 0; index < options.count; ++index) {
    node::settings const settings = node_settings(options, index, context);
    auto emulated = std::make_unique<node::node>(context, settings);
    std::string const failure = emulated->start();
    if (!failure.empty()) {
      std::cerr << "frostline-load hollow: " << failure << '\n';
      return 1;
    }
    bool const listed = register_machine(client, options.machines,
                                         {{"id", settings.id},
                                          {"kind", "node"},
                                          {"zone", settings.zone},
                                          {"address", settings.listen.to_string()},
                                          {"gossip", settings.gossip.to_string()},
                                          {"state", "live"},
                                          {"incarnation", 1}});
    if (!listed) return 1;
    nodes.push_back(std::move(emulated));
  }
  http::server control(context, {}, [&nodes](http::request) -> awaitable<http::response> {
    co_return json_response(http::status::ok, report(nodes));
  });
  if (!control.listen(options.control).empty()) return 1;
  context.run();
  return 0;
}

int run_emulated_engines(emulation_options const& options) {
  raise_file_limit();
  asio::io_context context(1);
  rpc::blocking_client client;
  standin::engine_group engines;
  for (std::uint32_t index = 0; index < options.count; ++index) {
    standin::options settings;
    settings.id = "engine-" + std::to_string(options.first + index);
    settings.listen = {options.control.address, 0};
    settings.slots = options.slots;
    settings.report_interval_ms = 500;
    std::uint16_t const port = engines.add(context, settings);
    std::string const zone = "zone-" + std::to_string(index % options.zones);
    bool const listed =
        port != 0 &&
        register_machine(client, options.machines,
                         {{"id", settings.id},
                          {"kind", "engine"},
                          {"zone", zone},
                          {"address", endpoint{options.control.address, port}.to_string()},
                          {"state", "live"},
                          {"incarnation", 1},
                          {"slots", options.slots}});
    if (!listed) return 1;
  }
  http::server control(context, {}, [](http::request) -> awaitable<http::response> {
    co_return json_response(http::status::ok, {{"status", "ok"}});
  });
  if (!control.listen(options.control).empty()) return 1;
  context.run();
  return 0;
}

}  // namespace frostline::load
