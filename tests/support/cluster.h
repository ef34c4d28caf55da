/// @file Runs a complete system as separate processes on loopback: gateway nodes and stand-ins for
/// the platform services, engines and application servers. Used by integration tests and
/// rehearsals.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "process.h"
#include "rpc/blocking.h"

namespace frostline::testing {

/// Number of processes in the system and their speed.
struct cluster_options {
  std::uint32_t nodes = 3;
  std::uint32_t engines = 2;
  std::uint32_t apps = 2;
  /// Nodes with an index below this number have a data folder.
  std::uint32_t disk_nodes = 3;
  std::uint32_t slots = 16;
  std::uint32_t step_us = 1000;
  std::uint32_t load_ms = 50;
  std::uint32_t app_service_ms = 1;
  /// Requests that an application server handles concurrently.
  std::uint32_t app_slots = 64;
  std::uint32_t list_lag_ms = 0;
  /// Requests per second that the key-value service accepts; 0 means unlimited.
  std::uint32_t kv_rate_limit = 0;
  std::string log_level = "info";
};

/// Returns options with engines slow enough that samples of a few hundred tokens are still in
/// flight when a test injects a fault.
cluster_options with_slow_engines();

class cluster {
 public:
  /// Writes the settings below `folder`, starts all processes and waits until all nodes are ready.
  cluster(std::string folder, cluster_options options);

  endpoint const& node(std::uint32_t index) const { return nodes_.at(index); }
  std::vector<endpoint> const& nodes() const { return nodes_; }
  endpoint const& engine(std::uint32_t index) const { return engines_.at(index); }
  endpoint const& app(std::uint32_t index) const { return apps_.at(index); }
  endpoint const& kv() const { return kv_; }
  endpoint const& scorer() const { return scorer_; }
  endpoint const& weights() const { return weights_; }
  endpoint const& machines() const { return machines_; }
  std::string journal_folder() const { return folder_ + "/journals"; }
  std::string const& folder() const { return folder_; }
  static std::string engine_name(std::uint32_t index) { return "engine-" + std::to_string(index); }
  static std::string app_name(std::uint32_t index) { return "app-" + std::to_string(index); }
  static std::string node_name(std::uint32_t index) { return "node-" + std::to_string(index); }

  /// Returns the process with this name, such as "kv", "engine-0" or "node-1".
  child_process& process(std::string const& name) { return *processes_.at(name); }
  void start_node(std::uint32_t index);
  void start_engine(std::uint32_t index);
  /// Sets the state and incarnation of a machine in the machine list.
  void list_machine(std::string const& id, std::string const& state, std::uint64_t incarnation);
  /// Changes the address of a machine in the machine list, for example to that of a fault proxy.
  /// The machine is listed as live with incarnation 1.
  void relocate(std::string const& id, endpoint const& address);
  /// Returns the log of a process so far.
  std::string process_log(std::string const& name) const;
  void set_faults(endpoint const& standin, boost::json::object faults);
  /// Waits until the injected faults have delayed a write to the key-value service, or its answer,
  /// at least once since the service started.
  void wait_for_delayed_write(std::string const& what);
  /// Records in the journals, for the checker, that a back end is being removed.
  void record_removal(std::string const& back_end);

  /// Operator calls, sent to node 0 or to `by_node`.
  rpc::ChangeResponseT put_task(std::string const& name, std::uint32_t bound,
                                std::uint32_t batch_size, std::uint32_t shards);
  rpc::ChangeResponseT publish(std::string const& task, std::uint64_t version,
                               std::uint32_t by_node = 0);
  rpc::ChangeResponseT put_route(std::string const& name, std::string const& prefix,
                                 bool repeatable);
  rpc::ChangeResponseT put_route_to(std::string const& name, std::string const& prefix,
                                    bool repeatable, std::vector<std::string> back_ends,
                                    std::uint32_t deadline_ms = 2000);
  rpc::ChangeResponseT drain(std::string const& back_end);
  rpc::GetStatusResponseT status(std::uint32_t by_node = 0, bool local_only = false);

  /// Waits until `condition` returns true; throws an error that contains `what` after `timeout`.
  static void wait_until(std::string const& what, std::function<bool()> condition,
                         milliseconds timeout = milliseconds(30'000));
  rpc::blocking_client& client() { return client_; }
  /// Starts frostline-load with `arguments`; its output goes to `log_name` in the run folder.
  child_process start_load(std::string const& log_name, std::vector<std::string> arguments);
  std::string node_list() const;

 private:
  void start_standin(std::string const& kind, std::string const& name, endpoint const& listen,
                     std::vector<std::string> extra);
  void write_node_settings(std::uint32_t index);
  void announce_machines();
  void announce(std::string const& id, std::string const& kind, endpoint const& address,
                std::string const& zone, std::string const& state, std::uint64_t incarnation);
  template <class Request>
  rpc::ChangeResponseT change(std::uint32_t by_node, std::string_view method,
                              Request const& request);

  struct listed_machine {
    std::string kind;
    endpoint address;
    std::string zone;
  };

  std::string folder_;
  cluster_options options_;
  std::string address_;
  std::map<std::string, std::unique_ptr<child_process>> processes_;
  std::map<std::string, listed_machine> listed_;
  std::vector<endpoint> nodes_;
  std::vector<endpoint> gossip_;
  std::vector<endpoint> engines_;
  std::vector<endpoint> apps_;
  endpoint kv_;
  endpoint machines_;
  endpoint weights_;
  endpoint scorer_;
  rpc::blocking_client client_;
};

/// Sleeps for the interval between two checks of a polling loop.
void pause_before_retry();

/// Returns a loopback address that no other run uses, so that concurrent runs don't compete for
/// ports.
std::string unique_loopback_address();

/// Returns an endpoint on `address` whose port is free and was not returned before.
endpoint free_endpoint(std::string const& address);

/// Returns the path of one of the project's built programs.
std::string program_path(std::string const& program);

/// Creates a new empty folder for one run and returns its path.
std::string make_run_folder(std::string const& name);

}  // namespace frostline::testing
