/// @file Runs a complete system on the users' platform: real gateway processes, with stand-ins for
/// the store and the servers that run on a thread of the test process.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "duty_standin.h"
#include "fault_proxy.h"
#include "process.h"
#include "rpc/blocking.h"
#include "server_standin.h"
#include "store_standin.h"

namespace frostline::testing {

struct platform_options {
  std::uint32_t nodes = 3;
  std::uint32_t engines = 2;
  std::uint32_t apps = 2;
  std::uint32_t events = 5;
  milliseconds event_gap{5};
  /// Each node connects to the store through its own fault proxy.
  bool proxied_store = false;
  /// Number of zones; nodes are assigned to them round-robin.
  std::uint32_t zones = 1;
  /// Value of "tenants" in the initial configuration, as JSON; empty for no tenants.
  std::string tenants;
  /// Length of the windows for which nodes report usage to the duty stand-in; 0 disables reports.
  milliseconds usage_window{0};
  /// Time after the end of a window at which its usage is due.
  milliseconds usage_delay{1500};
  /// Allows suspend() and resume().
  bool suspendable = false;
  /// Size of each engine's KV cache in tokens.
  std::uint64_t cache_tokens = 100'000;
  /// Service in the configuration whose servers are engines.
  std::string engine_service = "engines";
  /// Largest body of a client's request that the initial configuration allows.
  std::size_t max_body_bytes = 32 << 20;
  /// Samples of jobs must not mix weight versions.
  bool single_version = false;
  /// Text appended to the settings file of each node, in TOML.
  std::string extra_settings;
};

/// One item of a job, from which the request body is built.
struct test_item {
  std::string id;
  std::string group;
  bool scored = true;
  std::string scorer_path = "/calls/score";
  /// Text appended to the request body and to the body of the scorer's call.
  std::string prompt;
  std::string scorer_body;
  /// Expected and largest output, in tokens; sent if the hint is not 0.
  std::uint64_t length_hint = 0;
  std::uint64_t generated_limit = 0;
};

/// The peers of the nodes whose connections are selected.
enum class connected_part { store, servers, nodes, all };

class platform_cluster {
 public:
  explicit platform_cluster(platform_options options);
  ~platform_cluster();
  platform_cluster(platform_cluster const&) = delete;
  platform_cluster& operator=(platform_cluster const&) = delete;

  /// Runs `work` on the stand-ins' thread and returns its value.
  template <class Work>
  auto on_platform(Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto outcome = task.get_future();
    asio::post(context_, [&task] { task(); });
    return outcome.get();
  }

  store_standin& store() { return *store_; }
  duty_standin& duties() { return *duties_; }
  server_standin& engine(std::size_t index) { return *engines_.at(index); }
  server_standin& app(std::size_t index) { return *apps_.at(index); }
  std::size_t engines() const { return engines_.size(); }
  std::size_t apps() const { return apps_.size(); }
  std::size_t nodes() const { return nodes_.size(); }
  /// The proxy between a node and the store; only with `proxied_store`.
  fault_proxy& store_proxy(std::size_t node) { return *store_proxies_.at(node); }
  /// Makes the open connections to these peers permanently silent on both sides, without a reset;
  /// new connections work. @return number of silenced sockets.
  std::size_t silence_connections(connected_part part);
  /// Makes requests whose body contains `text` crash the server that runs them; empty for none.
  void set_crash_text(std::string const& text);
  /// Makes requests whose body contains `text` crash the servers that run them, `count` in all;
  /// further runs end like others.
  void add_crash_budget(std::string const& text, std::uint32_t count);
  void announce(server_standin const& server, std::string const& state);
  void withdraw(server_standin const& server);
  void put_config(std::uint64_t version, std::string const& extra_routes = "");
  /// Replaces the service of the engines in the configuration, with the next put_config. The
  /// engines keep announcing themselves as "engines".
  void use_engine_service(std::string const& name) { options_.engine_service = name; }
  /// Takes effect with the next put_config. @param tenants as JSON.
  void set_tenants(std::string const& tenants) { options_.tenants = tenants; }
  /// Sets the API key sent with subsequent calls; empty for none.
  void use_key(std::string const& key) { api_key_ = key; }
  /// Sets an additional header sent with subsequent calls; an empty name removes it.
  void use_header(std::string const& name, std::string const& value) {
    header_name_ = name;
    header_value_ = value;
  }
  void name_version(std::uint64_t version);

  void start_node(std::size_t index);
  /// Starts a node with the settings file as it is. @param preload path of a library for
  /// LD_PRELOAD; empty for none.
  void start_node_as_configured(std::size_t index, std::string const& preload = "");
  std::string settings_path(std::size_t index) const;
  /// Returns the text of a node's settings file as start_node writes it.
  std::string settings_text(std::size_t index) const;
  /// Rewrites a node's settings file with a later modification time.
  void touch_settings(std::size_t index);
  child_process& node(std::size_t index) { return *nodes_.at(index); }
  /// Stops a node as if its machine were suspended, and continues it; resume() does nothing for a
  /// node that is not suspended. Requires `suspendable`.
  void suspend(std::size_t index);
  void resume(std::size_t index);
  bool is_ready(std::size_t index);
  /// Returns the log of the node's current process.
  std::string log(std::size_t index) const;
  std::string const& folder() const { return folder_; }
  /// Waits until the store names an owner of the engine pool. @return the owner's index.
  std::size_t owner();
  /// Waits until the store names a relay for a zone. @return the relay's index.
  std::size_t relay(std::uint32_t zone = 0);
  std::optional<std::size_t> find_relay(std::uint32_t zone = 0);
  std::optional<std::size_t> find_owner();
  /// Waits until the store names a holder of the duties. @return the holder's index.
  std::size_t duty_holder();
  std::optional<std::size_t> find_duty_holder();
  /// Sends one request to a node's client address.
  /// @param timeout deadline sent with the request, and time limit for the answer.
  /// @param key API key that replaces the one set by use_key().
  result<http::response> call(std::size_t node, http::verb method, std::string const& path,
                              std::string const& request_id, std::string const& body = "",
                              milliseconds timeout = milliseconds(5000),
                              std::optional<std::string> const& key = std::nullopt);
  /// Returns the bytes of a request with a deadline of 5 s, for a connection that a test keeps
  /// open.
  std::string call_text(http::verb method, std::string const& path, std::string const& request_id,
                        std::string const& body = "") const;
  /// Returns the header field that names a request.
  static std::string id_field(std::string const& request_id);
  /// Returns the head of a POST request with a deadline of 60 s, for a body that a test sends
  /// itself.
  /// @param fields further header fields, each with its line end.
  static std::string call_head(std::string const& path, std::string const& request_id,
                               std::string const& fields);
  endpoint const& client_address(std::size_t node) const { return addresses_.at(node).clients; }
  endpoint const& readiness_address(std::size_t node) const {
    return addresses_.at(node).readiness;
  }
  endpoint const& peers_address(std::size_t node) const { return addresses_.at(node).peers; }
  /// Sends a request with a deadline of 5 s, but closes the connection after `read_timeout`.
  void call_and_disconnect(std::size_t node, std::string const& path, std::string const& request_id,
                           std::string const& body, milliseconds read_timeout);
  /// Submits a job. @return the HTTP status; 0 without an answer.
  unsigned submit(std::size_t node, std::string const& job, std::vector<test_item> const& items,
                  std::uint64_t min_version = 1);
  /// Ends a job. @return the HTTP status; 0 without an answer.
  unsigned end_job(std::size_t node, std::string const& job);
  /// Reads the body of a job's item.
  result<http::response> item_body(std::size_t node, std::string const& job,
                                   std::string const& item);
  /// Returns the server stamp of an answer, a header that the server sets; empty if absent.
  static std::string stamp_of(http::response const& answer);
  /// Writes the operator's request to evacuate a storage machine.
  void request_evacuation(std::string const& machine);
  bool is_reported_empty(std::string const& machine);
  /// Returns the HTTP status of a request for a job's results; 0 without an answer.
  unsigned results_status(std::size_t node, std::string const& job);
  /// Returns the results of a job after a position; nothing if the status is not 200.
  std::optional<boost::json::object> results(std::size_t node, std::string const& job,
                                             std::uint64_t after = 0);
  /// Waits until `count` results are listed.
  boost::json::object wait_for_results(std::size_t node, std::string const& job, std::size_t count);
  static void wait_until(std::string const& what, std::function<bool()> condition);

  static constexpr char k_host[] = "test.example";
  static constexpr char k_model[] = "model";

 private:
  std::vector<endpoint> addresses_of(connected_part part) const;
  void write_settings(std::size_t index);
  http::request make_call(http::verb method, std::string const& path, std::string const& request_id,
                          std::string const& body, milliseconds deadline,
                          std::optional<std::string> const& key) const;
  /// Sends a request to a node's client address and reads the answer within `read_timeout`.
  result<http::response> exchange(std::size_t node, http::request const& message,
                                  milliseconds read_timeout) const;
  /// Returns the index of the node named by the store's record `key`; nothing if none is named.
  std::optional<std::size_t> find_named(std::string const& key);

  platform_options options_;
  std::string folder_;
  std::string address_;
  asio::io_context context_{1};
  std::unique_ptr<store_standin> store_;
  endpoint duties_address_;
  std::unique_ptr<duty_standin> duties_;
  std::vector<std::unique_ptr<server_standin>> engines_;
  std::vector<std::unique_ptr<server_standin>> apps_;
  std::thread thread_;
  endpoint store_address_;
  struct node_addresses {
    endpoint clients;
    endpoint readiness;
    endpoint peers;
  };
  std::vector<node_addresses> addresses_;
  std::map<std::size_t, std::string> logs_;
  std::map<std::size_t, time_point> suspended_at_;
  std::vector<std::unique_ptr<fault_proxy>> store_proxies_;
  std::vector<std::unique_ptr<child_process>> nodes_;
  rpc::blocking_client client_;
  std::string api_key_;
  std::string header_name_;
  std::string header_value_;
};

}  // namespace frostline::testing
