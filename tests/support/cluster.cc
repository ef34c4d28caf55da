#include "cluster.h"

#include <unistd.h>

#include <boost/filesystem.hpp>
#include <cstdlib>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

#include "http/json_fields.h"
#include "standin/journal.h"

namespace frostline::testing {
namespace {

namespace json = boost::json;

constexpr milliseconds k_poll{20};
constexpr milliseconds k_call_timeout{10'000};
constexpr std::uint32_t k_zones = 3;

std::string zone_name(std::uint32_t index) { return "zone-" + std::to_string(index % k_zones); }

}  // namespace

std::string program_path(std::string const& program) {
  char const* const given = std::getenv("FROSTLINE_BIN");
  std::string const folder = given == nullptr ? FROSTLINE_BINARY_FOLDER : given;
  return folder + "/" + program;
}

cluster_options with_slow_engines() {
  cluster_options options;
  options.step_us = 5000;
  return options;
}

void pause_before_retry() { std::this_thread::sleep_for(k_poll); }

std::string unique_loopback_address() {
  static std::uint32_t number = 0;
  auto const process = static_cast<std::uint32_t>(getpid());
  auto const part = [](std::uint32_t value) { return std::to_string(1 + value % 250); };
  return "127." + part(process) + "." + part(process / 250) + "." + part(number++);
}

endpoint free_endpoint(std::string const& address) {
  static std::set<endpoint> given;
  asio::io_context context;
  while (true) {
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0));
    endpoint found{address, acceptor.local_endpoint().port()};
    if (given.insert(found).second) return found;
  }
}

std::string make_run_folder(std::string const& name) {
  namespace files = boost::filesystem;
  files::path const folder = files::temp_directory_path() / files::unique_path(name + "-%%%%%%%%");
  files::create_directories(folder / "journals");
  return folder.string();
}

cluster::cluster(std::string folder, cluster_options options)
    : folder_(std::move(folder)), options_(options), address_(unique_loopback_address()) {
  kv_ = free_endpoint(address_);
  machines_ = free_endpoint(address_);
  weights_ = free_endpoint(address_);
  scorer_ = free_endpoint(address_);
  start_standin("kv", "kv", kv_, {"--rate_limit=" + std::to_string(options_.kv_rate_limit)});
  start_standin("machines", "machines", machines_,
                {"--list_lag_ms=" + std::to_string(options_.list_lag_ms)});
  start_standin("weights", "weights", weights_, {"--rate_limit=200"});
  start_standin("scorer", "scorer", scorer_, {});
  for (std::uint32_t index = 0; index < options_.engines; ++index) {
    engines_.push_back(free_endpoint(address_));
    start_engine(index);
  }
  for (std::uint32_t index = 0; index < options_.apps; ++index) {
    apps_.push_back(free_endpoint(address_));
    start_standin("app", app_name(index), apps_.back(),
                  {"--service_ms=" + std::to_string(options_.app_service_ms),
                   "--slots=" + std::to_string(options_.app_slots)});
  }
  for (std::uint32_t index = 0; index < options_.nodes; ++index) {
    nodes_.push_back(free_endpoint(address_));
    gossip_.push_back(free_endpoint(address_));
  }
  announce_machines();
  for (std::uint32_t index = 0; index < options_.nodes; ++index) start_node(index);
  for (endpoint const& where : nodes_) {
    wait_until("node " + where.to_string() + " is ready", [&] {
      auto const answer = client_.exchange(where, http::make_get("/readyz"), milliseconds(1000));
      return answer && answer.value().result() == http::status::ok;
    });
  }
}

void cluster::start_standin(std::string const& kind, std::string const& name,
                            endpoint const& listen, std::vector<std::string> extra) {
  std::vector<std::string> arguments = {kind, "--id=" + name, "--listen=" + listen.to_string(),
                                        "--journal=" + journal_folder() + "/" + name + ".jsonl"};
  arguments.insert(arguments.end(), extra.begin(), extra.end());
  processes_[name] = std::make_unique<child_process>(program_path("frostline-standin"), arguments,
                                                     folder_ + "/" + name + ".log");
  wait_until(name + " listens", [&] {
    auto const answer = client_.exchange(listen, http::make_get("/healthz"), milliseconds(1000));
    return answer.has_value();
  });
}

void cluster::start_engine(std::uint32_t index) {
  start_standin(
      "engine", engine_name(index), engines_.at(index),
      {"--slots=" + std::to_string(options_.slots), "--step_us=" + std::to_string(options_.step_us),
       "--load_ms=" + std::to_string(options_.load_ms), "--step_us_per_sample=10"});
}

void cluster::write_node_settings(std::uint32_t index) {
  std::ofstream file(folder_ + "/" + node_name(index) + ".toml");
  file << "[node]\nid = \"" << node_name(index) << "\"\nzone = \"" << zone_name(index) << "\"\n";
  if (index < options_.disk_nodes) {
    file << "data_folder = \"" << folder_ << "/data-" << index << "\"\n";
  }
  file << "[listen]\nhttp = \"" << nodes_[index].to_string() << "\"\ngossip = \""
       << gossip_[index].to_string() << "\"\n";
  file << "[platform]\nkv = [\"" << kv_.to_string() << "\"]\nmachines = \"" << machines_.to_string()
       << "\"\n";
  file << "[log]\nlevel = \"" << options_.log_level << "\"\n";
  file << "[stop]\ndrain_seconds = 20\n";
}

void cluster::start_node(std::uint32_t index) {
  write_node_settings(index);
  std::string const name = node_name(index);
  processes_[name] = std::make_unique<child_process>(
      program_path("frostline"),
      std::vector<std::string>{"--config=" + folder_ + "/" + name + ".toml"},
      folder_ + "/" + name + ".log");
}

void cluster::announce_machines() {
  for (std::uint32_t index = 0; index < options_.engines; ++index) {
    announce(engine_name(index), "engine", engines_[index], zone_name(index), "live", 1);
  }
  for (std::uint32_t index = 0; index < options_.apps; ++index) {
    announce(app_name(index), "app", apps_[index], zone_name(index), "live", 1);
  }
  for (std::uint32_t index = 0; index < options_.nodes; ++index) {
    announce(node_name(index), "node", nodes_[index], zone_name(index), "live", 1);
  }
}

void cluster::announce(std::string const& id, std::string const& kind, endpoint const& address,
                       std::string const& zone, std::string const& state,
                       std::uint64_t incarnation) {
  listed_[id] = {kind, address, zone};
  json::object machine{{"id", id},
                       {"kind", kind},
                       {"zone", zone},
                       {"address", address.to_string()},
                       {"state", state},
                       {"incarnation", incarnation},
                       {"slots", options_.slots}};
  if (kind == "node") {
    auto const index = std::stoul(id.substr(id.rfind('-') + 1));
    machine["gossip"] = gossip_[index].to_string();
  }
  auto const answer = client_.exchange(
      machines_, http::make_post("/v1/machines", json::serialize(machine), http::k_json),
      k_call_timeout);
  if (!answer) throw std::runtime_error("machine list: " + answer.error().message());
}

void cluster::list_machine(std::string const& id, std::string const& state,
                           std::uint64_t incarnation) {
  listed_machine const held = listed_.at(id);
  announce(id, held.kind, held.address, held.zone, state, incarnation);
}

void cluster::relocate(std::string const& id, endpoint const& address) {
  listed_machine const held = listed_.at(id);
  announce(id, held.kind, address, held.zone, "live", 1);
}

std::string cluster::process_log(std::string const& name) const {
  std::ifstream file(folder_ + "/" + name + ".log");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void cluster::set_faults(endpoint const& standin, json::object faults) {
  auto const answer = client_.exchange(
      standin, http::make_post("/faults", json::serialize(faults), http::k_json), k_call_timeout);
  if (!answer) throw std::runtime_error("faults could not be set: " + answer.error().message());
}

void cluster::wait_for_delayed_write(std::string const& what) {
  wait_until(what, [this] {
    auto const answer = client_.exchange(kv_, http::make_get("/stats"), k_call_timeout);
    auto const body = answer ? parse_json_object(answer.value().body()) : std::nullopt;
    return body && json_number(*body, "slow_writes") > 0;
  });
}

void cluster::record_removal(std::string const& back_end) {
  standin::journal operators(journal_folder() + "/operators.jsonl");
  operators.write("leaving", {{"backend", back_end}});
}

template <class Request>
rpc::ChangeResponseT cluster::change(std::uint32_t by_node, std::string_view method,
                                     Request const& request) {
  auto const answer = client_.call<Request, rpc::ChangeResponseT>(node(by_node), "OperatorService",
                                                                  method, request, k_call_timeout);
  if (!answer) throw std::runtime_error(std::string(method) + ": " + answer.error().detail);
  return answer.value();
}

rpc::ChangeResponseT cluster::put_task(std::string const& name, std::uint32_t bound,
                                       std::uint32_t batch_size, std::uint32_t shards) {
  rpc::PutTaskRequestT request;
  request.task = std::make_unique<rpc::TaskRecordT>();
  request.task->name = name;
  request.task->model = "model-" + name;
  request.task->freshness_bound = bound;
  request.task->batch_size = batch_size;
  request.task->shards = shards;
  request.task->scorer = scorer_.to_string();
  return change(0, "PutTask", request);
}

rpc::ChangeResponseT cluster::publish(std::string const& task, std::uint64_t version,
                                      std::uint32_t by_node) {
  rpc::PublishVersionRequestT request;
  request.task = task;
  request.version = version;
  request.weights = weights_.to_string() + "/weights/" + std::to_string(version);
  return change(by_node, "PublishVersion", request);
}

rpc::ChangeResponseT cluster::put_route(std::string const& name, std::string const& prefix,
                                        bool repeatable) {
  std::vector<std::string> back_ends;
  for (std::uint32_t index = 0; index < options_.apps; ++index) {
    back_ends.push_back(app_name(index));
  }
  return put_route_to(name, prefix, repeatable, std::move(back_ends));
}

rpc::ChangeResponseT cluster::put_route_to(std::string const& name, std::string const& prefix,
                                           bool repeatable, std::vector<std::string> back_ends,
                                           std::uint32_t deadline_ms) {
  rpc::PutRouteRequestT request;
  request.route = std::make_unique<rpc::RouteRecordT>();
  request.route->name = name;
  request.route->path_prefix = prefix;
  request.route->repeatable = repeatable;
  request.route->backends = std::move(back_ends);
  request.route->deadline_ms = deadline_ms;
  return change(0, "PutRoute", request);
}

rpc::ChangeResponseT cluster::drain(std::string const& back_end) {
  rpc::SetDrainRequestT request;
  request.backend = back_end;
  return change(0, "SetDrain", request);
}

rpc::GetStatusResponseT cluster::status(std::uint32_t by_node, bool local_only) {
  rpc::GetStatusRequestT request;
  request.local_only = local_only;
  auto answer = client_.call<rpc::GetStatusRequestT, rpc::GetStatusResponseT>(
      node(by_node), "OperatorService", "GetStatus", request, k_call_timeout);
  if (!answer) throw std::runtime_error("GetStatus: " + answer.error().detail);
  return std::move(answer.value());
}

void cluster::wait_until(std::string const& what, std::function<bool()> condition,
                         milliseconds timeout) {
  time_point const deadline = boot_clock::now() + timeout;
  while (!condition()) {
    if (boot_clock::now() >= deadline) throw std::runtime_error("timed out waiting until " + what);
    std::this_thread::sleep_for(k_poll);
  }
}

child_process cluster::start_load(std::string const& log_name, std::vector<std::string> arguments) {
  return {program_path("frostline-load"), arguments, folder_ + "/" + log_name};
}

std::string cluster::node_list() const {
  std::string list;
  for (endpoint const& node_address : nodes_) {
    if (!list.empty()) list += ',';
    list += node_address.to_string();
  }
  return list;
}

}  // namespace frostline::testing
