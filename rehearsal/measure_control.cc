/// @file Measures the control plane of emulated nodes: traffic, CPU, memory and key-value
/// operations per node, and the time until a change has reached all nodes, a version all engines,
/// and until all nodes know that a zone was lost or has joined.

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "cluster.h"
#include "http/json_fields.h"

namespace {

namespace json = boost::json;
using namespace frostline;
using frostline::testing::child_process;
using frostline::testing::cluster;

constexpr char k_task[] = "main";
constexpr std::uint32_t k_zones = 10;
constexpr milliseconds k_call_timeout{10'000};
constexpr milliseconds k_wait_timeout{120'000};
/// Time for the gossip traffic of the start to subside.
constexpr milliseconds k_settle_time{10'000};

/// Sums and extremes over all node processes.
struct totals {
  double cpu_seconds = 0;
  double resident_kib = 0;
  double gossip_bytes = 0;
  double http_bytes = 0;
  double kv_operations = 0;
  std::uint64_t nodes = 0;
  std::uint64_t serving = 0;
  std::uint64_t engines_ready = 0;
  std::uint64_t engines_controlled = 0;
  std::uint64_t max_controlled = 0;
  std::uint64_t lowest_revision = UINT64_MAX;
  std::uint64_t lowest_alive = UINT64_MAX;
  std::uint64_t highest_alive = 0;
};

double number_field(json::object const& body, std::string_view key) {
  return body.at(key).to_number<double>();
}

std::uint64_t unsigned_field(json::object const& body, std::string_view key) {
  return static_cast<std::uint64_t>(json_number(body, key));
}

/// A system of emulated nodes, with one process per zone.
class emulated_system {
 public:
  emulated_system(std::uint32_t nodes, std::uint32_t engines)
      : nodes_(nodes),
        engines_(engines),
        folder_(testing::make_run_folder("frostline-hollow")),
        address_(testing::unique_loopback_address()),
        kv_(testing::free_endpoint(address_)),
        machines_(testing::free_endpoint(address_)) {
    start("frostline-standin", "kv", {"kv", "--listen=" + kv_.to_string()}, kv_);
    start("frostline-standin", "machines", {"machines", "--listen=" + machines_.to_string()},
          machines_);
    endpoint const control = testing::free_endpoint(testing::unique_loopback_address());
    start("frostline-load", "engines",
          {"hollow-engines", "--machines=" + machines_.to_string(),
           "--control=" + control.to_string(), "--count=" + std::to_string(engines),
           "--zones=" + std::to_string(k_zones)},
          control);
    for (std::uint32_t zone = 0; zone < k_zones; ++zone) {
      controls_.push_back(testing::free_endpoint(testing::unique_loopback_address()));
      start_zone(zone);
    }
  }

  void start_zone(std::uint32_t zone) {
    std::uint32_t const first = zone * nodes_ / k_zones;
    std::uint32_t const next = (zone + 1) * nodes_ / k_zones;
    endpoint const control = controls_.at(zone);
    std::string const name = "zone-" + std::to_string(zone);
    start("frostline-load", name,
          {"hollow", "--kv=" + kv_.to_string(), "--machines=" + machines_.to_string(),
           "--control=" + control.to_string(), "--count=" + std::to_string(next - first),
           "--first=" + std::to_string(first), "--zone=" + name},
          control);
  }

  totals report(std::uint32_t skipped_zone = k_zones) {
    totals sums;
    for (std::uint32_t zone = 0; zone < k_zones; ++zone) {
      if (zone == skipped_zone) continue;
      auto const answer =
          client_.exchange(controls_[zone], http::make_get("/report"), k_call_timeout);
      auto const body = answer ? parse_json_object(answer.value().body()) : std::nullopt;
      if (!body) throw std::runtime_error("zone " + std::to_string(zone) + " sent no report");
      add(*body, sums);
    }
    return sums;
  }

  child_process& process(std::string const& name) { return *processes_.at(name); }

  /// Returns the address of a node in zone-0 according to the machine list.
  endpoint any_node() {
    if (node_.port != 0) return node_;
    auto const answer = client_.exchange(machines_, http::make_get("/v1/machines"), k_call_timeout);
    auto const body = parse_json_object(answer.value().body());
    for (json::value const& item : body->at("machines").as_array()) {
      json::object const& machine = item.as_object();
      if (json_text(machine, "kind") != "node" || json_text(machine, "zone") != "zone-0") continue;
      node_ = *parse_endpoint(json_text(machine, "address"));
    }
    return node_;
  }

  template <class Request>
  rpc::ChangeResponseT change(std::string_view method, Request const& request) {
    auto const answer = client_.call<Request, rpc::ChangeResponseT>(
        any_node(), "OperatorService", method, request, k_call_timeout);
    if (!answer) throw std::runtime_error(std::string(method) + ": " + answer.error().detail);
    return answer.value();
  }

  void set_outage(std::int64_t duration_ms) {
    auto message = http::make_post(
        "/faults", json::serialize(json::object{{"outage_ms", duration_ms}}), http::k_json);
    auto const answer = client_.exchange(kv_, std::move(message), k_call_timeout);
    if (!answer) throw std::runtime_error("can't inject the outage");
  }

  /// Returns how many operations the key-value service has received.
  double kv_operations() {
    auto const answer = client_.exchange(kv_, http::make_get("/stats"), k_call_timeout);
    return number_field(*parse_json_object(answer.value().body()), "operations");
  }

  std::uint32_t nodes() const { return nodes_; }
  std::uint32_t engines() const { return engines_; }

 private:
  void start(std::string const& program, std::string const& name,
             std::vector<std::string> const& arguments, endpoint const& address) {
    processes_[name] = std::make_unique<child_process>(testing::program_path(program), arguments,
                                                       folder_ + "/" + name + ".log");
    cluster::wait_until(
        name + " listens",
        [&] {
          return client_.exchange(address, http::make_get("/healthz"), milliseconds(1000))
              .has_value();
        },
        k_wait_timeout);
  }

  static void add(json::object const& body, totals& sums) {
    sums.cpu_seconds += number_field(body, "cpu_seconds");
    sums.resident_kib += number_field(body, "resident_kib");
    sums.gossip_bytes +=
        number_field(body, "gossip_bytes_sent") + number_field(body, "gossip_bytes_received");
    sums.http_bytes +=
        number_field(body, "http_bytes_sent") + number_field(body, "http_bytes_received");
    sums.kv_operations += number_field(body, "kv_operations");
    sums.nodes += unsigned_field(body, "nodes");
    sums.serving += unsigned_field(body, "serving");
    sums.engines_ready += unsigned_field(body, "engines_ready");
    sums.engines_controlled += unsigned_field(body, "engines_controlled");
    sums.max_controlled =
        std::max(sums.max_controlled, unsigned_field(body, "engines_controlled_highest"));
    sums.lowest_revision =
        std::min(sums.lowest_revision, unsigned_field(body, "config_revision_lowest"));
    sums.lowest_alive = std::min(sums.lowest_alive, unsigned_field(body, "members_alive_lowest"));
    sums.highest_alive =
        std::max(sums.highest_alive, unsigned_field(body, "members_alive_highest"));
  }

  std::uint32_t nodes_;
  std::uint32_t engines_;
  std::string folder_;
  std::string address_;
  endpoint kv_;
  endpoint machines_;
  std::vector<endpoint> controls_;
  std::map<std::string, std::unique_ptr<child_process>> processes_;
  rpc::blocking_client client_;
  endpoint node_;
};

double seconds_until(std::string const& description, std::function<bool()> condition) {
  time_point const begin = boot_clock::now();
  cluster::wait_until(description, std::move(condition), k_wait_timeout);
  std::chrono::duration<double> const took = boot_clock::now() - begin;
  return took.count();
}

rpc::PublishVersionRequestT version(std::uint64_t number) {
  rpc::PublishVersionRequestT request;
  request.task = k_task;
  request.version = number;
  return request;
}

/// Measures the resource usage of an idle system, per node.
void measure_idle(emulated_system& system, std::uint32_t duration_seconds, json::object& row) {
  totals const before = system.report();
  double const operations_before = system.kv_operations();
  time_point const begin = boot_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(duration_seconds));
  totals const after = system.report();
  std::chrono::duration<double> const took = boot_clock::now() - begin;
  double const node_seconds = took.count() * system.nodes();
  row["cpu_percent_per_node"] = 100 * (after.cpu_seconds - before.cpu_seconds) / node_seconds;
  row["gossip_bytes_per_second_per_node"] =
      (after.gossip_bytes - before.gossip_bytes) / node_seconds;
  row["http_bytes_per_second_per_node"] = (after.http_bytes - before.http_bytes) / node_seconds;
  row["kv_operations_per_second"] = (system.kv_operations() - operations_before) / took.count();
  row["resident_mib_per_node"] = after.resident_kib / 1024 / system.nodes();
  row["engines_on_busiest_node"] = after.max_controlled;
}

void measure_changes(emulated_system& system, json::object& row) {
  double slowest_change = 0;
  double slowest_version = 0;
  for (std::uint64_t number = 2; number < 5; ++number) {
    auto const accepted = system.change("PublishVersion", version(number));
    double const change = seconds_until("a change is known everywhere", [&] {
      return system.report().lowest_revision >= accepted.revision;
    });
    double const loaded = seconds_until("a version is on every engine", [&] {
      return system.report().engines_ready == system.engines();
    });
    slowest_change = std::max(slowest_change, change);
    slowest_version = std::max(slowest_version, change + loaded);
  }
  row["change_known_everywhere_seconds"] = slowest_change;
  row["version_on_every_engine_seconds"] = slowest_version;
}

void measure_lost_zone(emulated_system& system, json::object& row) {
  std::uint32_t const lost = k_zones - 1;
  std::uint64_t const lost_nodes = system.nodes() - lost * system.nodes() / k_zones;
  system.process("zone-" + std::to_string(lost)).kill();
  row["killed_nodes"] = lost_nodes;
  row["killed_known_everywhere_seconds"] = seconds_until("the lost zone is known", [&] {
    return system.report(lost).highest_alive == system.nodes() - lost_nodes;
  });
  row["engines_taken_over_seconds"] = seconds_until("engines have owners again", [&] {
    return system.report(lost).engines_ready == system.engines();
  });
  system.start_zone(lost);
  row["zone_joined_seconds"] = seconds_until("the zone has joined", [&] {
    totals const now = system.report();
    return now.serving == system.nodes() && now.lowest_alive == system.nodes();
  });
}

void measure_outage(emulated_system& system, json::object& row) {
  constexpr std::int64_t k_outage_ms = 15'000;
  double const before = system.kv_operations();
  system.set_outage(k_outage_ms);
  std::this_thread::sleep_for(milliseconds(k_outage_ms));
  double const during = system.kv_operations();
  row["kv_operations_per_second_in_outage"] = (during - before) / (k_outage_ms / 1000.0);
  double busiest = 0;
  double last = during;
  for (int second = 0; second < 10; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    double const now = system.kv_operations();
    busiest = std::max(busiest, now - last);
    last = now;
  }
  row["kv_operations_in_busiest_second_after_outage"] = busiest;
}

json::object measure(std::uint32_t nodes, std::uint32_t engines, std::uint32_t idle_seconds) {
  json::object row{{"nodes", nodes}, {"engines", engines}};
  time_point const begin = boot_clock::now();
  emulated_system system(nodes, engines);
  rpc::PutTaskRequestT task;
  task.task = std::make_unique<rpc::TaskRecordT>();
  task.task->name = k_task;
  task.task->model = "model";
  cluster::wait_until(
      "all nodes serve", [&] { return system.report().serving == nodes; }, k_wait_timeout);
  system.change("PutTask", task);
  system.change("PublishVersion", version(1));
  cluster::wait_until(
      "all nodes know each other and every engine is ready",
      [&] {
        totals const now = system.report();
        return now.lowest_alive == nodes && now.engines_ready == engines;
      },
      k_wait_timeout);
  std::chrono::duration<double> const took = boot_clock::now() - begin;
  row["whole_system_ready_seconds"] = took.count();
  std::this_thread::sleep_for(k_settle_time);
  measure_idle(system, idle_seconds, row);
  measure_changes(system, row);
  measure_lost_zone(system, row);
  measure_outage(system, row);
  return row;
}

}  // namespace

/// Arguments: idle seconds, then pairs "nodes:engines". Prints one JSON object per pair.
int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "frostline-measure-control IDLE_SECONDS NODES:ENGINES ...\n";
    return 2;
  }
  try {
    auto const idle_seconds = static_cast<std::uint32_t>(std::stoul(argv[1]));
    for (int index = 2; index < argc; ++index) {
      std::string const pair = argv[index];
      auto const colon = pair.find(':');
      auto const nodes = static_cast<std::uint32_t>(std::stoul(pair.substr(0, colon)));
      auto const engines = static_cast<std::uint32_t>(std::stoul(pair.substr(colon + 1)));
      std::cout << json::serialize(measure(nodes, engines, idle_seconds)) << std::endl;
    }
    return 0;
  } catch (std::exception const& failure) {
    std::cerr << "frostline-measure-control: " << failure.what() << '\n';
    return 1;
  }
}
