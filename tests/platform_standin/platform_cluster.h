/// @file A whole system on the users' platform: real gateway processes before stand-ins of the
/// store and the servers, which run on a thread of the test.
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
  /// Each node reaches the store through a proxy of its own.
  bool proxied_store = false;
  /// Nodes stand in that many zones, in turn.
  std::uint32_t zones = 1;
  /// "tenants" of the first configuration, as JSON; empty: there are none.
  std::string tenants;
  /// Nodes report usage for windows of this length to the stand-in of the duty service; 0: none.
  milliseconds usage_window{0};
  /// A window's usage is due that long after its end.
  milliseconds usage_delay{1500};
  /// Nodes can be suspended.
  bool suspendable = false;
};

/// One item of a job, in the words of the test.
struct test_item {
  std::string id;
  std::string group;
  bool scored = true;
  std::string scorer_path = "/calls/score";
  /// Ends of the bodies of its request and of its scorer's.
  std::string prompt;
  std::string scorer_body;
};

/// Whom connections of nodes lead to.
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
  /// Connections to these that are open now go silent for good, at both ends and without a reset;
  /// new ones work. @return how many ends.
  std::size_t silence_connections(connected_part part);
  /// From now on a request whose body holds this text ends the server that runs it; empty: none.
  void set_crash_text(std::string const& text);
  void announce(server_standin const& server, std::string const& state);
  void withdraw(server_standin const& server);
  void put_config(std::uint64_t version, std::string const& extra_routes = "");
  /// Takes effect with the next put_config. @param tenants as JSON.
  void set_tenants(std::string const& tenants) { options_.tenants = tenants; }
  /// From now on calls carry this key; empty: none.
  void use_key(std::string const& key) { api_key_ = key; }
  /// From now on calls carry this header, too; with an empty name none.
  void use_header(std::string const& name, std::string const& value) {
    header_name_ = name;
    header_value_ = value;
  }
  void name_version(std::uint64_t version);

  void start_node(std::size_t index);
  /// Writes a node's settings file again, with a later time.
  void touch_settings(std::size_t index);
  child_process& node(std::size_t index) { return *nodes_.at(index); }
  /// Stops a node as if its machine slept, and lets it go on; a process that has not slept is not
  /// woken. Only with `suspendable`.
  void suspend(std::size_t index);
  void wake(std::size_t index);
  bool is_ready(std::size_t index);
  /// What the node's present process has written.
  std::string log(std::size_t index) const;
  std::string const& folder() const { return folder_; }
  /// Index of the node that owns the pool, by the store's record; waits until one does.
  std::size_t owner();
  /// Index of the node that relays records in a zone, by the store's record; waits until one does.
  std::size_t relay(std::uint32_t zone = 0);
  std::optional<std::size_t> find_relay(std::uint32_t zone = 0);
  std::optional<std::size_t> find_owner();
  /// Index of the node that holds the duties, by the store's record; waits until one does.
  std::size_t duty_holder();
  std::optional<std::size_t> find_duty_holder();
  /// One call to a node's client address.
  /// @param key instead of the one of use_key.
  result<http::response> call(std::size_t node, http::verb method, std::string const& path,
                              std::string const& request_id, std::string const& body = "",
                              milliseconds timeout = milliseconds(5000),
                              std::optional<std::string> const& key = std::nullopt);
  /// A client that says it waits for seconds, and closes its connection after `read_timeout`
  /// instead.
  void call_and_disconnect(std::size_t node, std::string const& path, std::string const& request_id,
                           std::string const& body, milliseconds read_timeout);
  unsigned submit(std::size_t node, std::string const& job, std::vector<test_item> const& items,
                  std::uint64_t min_version = 1);
  /// Ends a job. @return the status; 0 without an answer.
  unsigned end_job(std::size_t node, std::string const& job);
  /// Asks for the body of a job's item.
  result<http::response> item_body(std::size_t node, std::string const& job,
                                   std::string const& item);
  /// An answer's proof that it is a server's own.
  static std::string stamp_of(http::response const& answer);
  /// Asks for a storage machine to be emptied, as an operator does.
  void request_evacuation(std::string const& machine);
  bool is_reported_empty(std::string const& machine);
  /// Status with which a node answers a call for a job's results; 0 without an answer.
  unsigned results_status(std::size_t node, std::string const& job);
  /// Results of a job from a position on; nothing if the node does not answer 200.
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
  /// Sends a request to a node's client address and reads its answer, for `read_timeout` at most.
  result<http::response> exchange(std::size_t node, http::request const& message,
                                  milliseconds read_timeout) const;
  /// Index of the node that a record of the store names.
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
