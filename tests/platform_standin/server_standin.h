/// @file Stand-ins for the application servers and model servers of the users' platform. They speak
/// the published protocol and simulate restarts, refusals, broken streams and lost orders.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"
#include "uneven_server.h"

namespace frostline::testing {

/// One request that reached a server.
struct arrival {
  std::string request;
  std::string path;
  std::string body;
  std::string expected_instance;
  std::string last_event;
  std::string deadline;
  /// All values of the tenant header, joined by commas.
  std::string tenant;
  std::string authorization;
  time_point at{};
  /// The server ran the request rather than refusing it.
  bool ran = false;
  /// The request crashed the server.
  bool crashed = false;
  /// Incarnation of the server, also if it keeps its identifier when it starts again.
  std::string server;
};

/// One order that reached a model server.
struct order_arrival {
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t version = 0;
  time_point at{};
};

/// A limited number of crashes, shared by several servers.
struct crash_budget {
  /// Requests whose body contains this text crash the server that starts to run them.
  std::string text;
  std::shared_ptr<std::uint32_t> crashes_left;
};

struct server_faults {
  /// Refuses every request as full.
  bool full = false;
  /// Answers no request.
  bool silent = false;
  /// Number of requests to answer with `failure_status`.
  std::uint32_t failures = 0;
  unsigned failure_status = 500;
  /// Answers counted in `failures` are cut in the middle of their body.
  bool cuts_failures = false;
  /// Number of events after which a stream counted in `breaks` is cut.
  std::uint32_t break_after = 0;
  /// Number of streams to cut.
  std::uint32_t breaks = 0;
  /// Number of orders that are carried out but not answered.
  std::uint32_t lost_orders = 0;
  /// Number of requests that are run and whose answers are cut off.
  std::uint32_t cuts = 0;
  /// Requests whose body contains this text crash the server that starts to run them; empty for
  /// none.
  std::string crash_text;
  /// Requests that crash a limited number of servers before they run like others.
  std::vector<crash_budget> crash_budgets;
  /// Time from the start of a request that crashes the server to the crash.
  milliseconds crash_after{20};
  /// Time from a crash to the restart.
  milliseconds down_time{300};
  /// Answers to requests whose identifier begins with this text are `large_bytes` long; empty for
  /// none.
  std::string large_prefix;
  std::size_t large_bytes = 0;
  /// Time an application server takes to process a request.
  milliseconds work_time{0};
  /// Load report sent with the answers of an application server; empty for none.
  std::string load_report;
  uneven_faults uneven;
};

struct server_options {
  std::string id;
  std::string service;
  std::string zone = "a";
  endpoint address;
  std::uint32_t slots = 8;
  /// Model servers only.
  std::string model;
  std::uint32_t events = 5;
  milliseconds event_gap{5};
  milliseconds load_time{40};
  /// A restart after a crash keeps the identifier of the previous incarnation.
  bool keeps_id = false;
};

class server_standin {
 public:
  server_standin(asio::io_context& context, server_options options);

  /// Returns the server's record for the store.
  std::string record(std::string const& state) const;
  /// Begins a new incarnation at the same address that keeps only the weights of the previous one.
  void restart(std::string const& id);
  /// Stops abruptly, like a killed process, and restarts at the same address after `down_time`.
  void crash();
  /// Sets a listener that is called after a restart with the identifier of the previous
  /// incarnation.
  void on_restart(std::function<void(std::string const&)> listener) {
    on_restart_ = std::move(listener);
  }
  bool is_down() const { return down_; }
  std::uint32_t crashes() const { return crashes_; }
  std::string const& id() const { return options_.id; }
  endpoint const& address() const { return options_.address; }
  std::string const& service() const { return options_.service; }
  server_faults& faults() { return faults_; }
  std::vector<arrival> const& arrivals() const { return arrivals_; }
  std::vector<order_arrival> const& orders() const { return orders_; }
  std::uint64_t version() const { return version_; }
  /// Number of orders with an `expected` sequence number that did not match the server's.
  std::uint32_t conflicting_orders() const { return conflicting_orders_; }
  void set_keeps_id(bool keeps) { options_.keeps_id = keeps; }
  /// Start time of this incarnation in Unix milliseconds.
  std::uint64_t born() const { return born_; }
  /// Number of runs whose connection was closed before they ended.
  std::uint32_t abandoned() const { return abandoned_; }
  void on_version(std::function<void()> listener) { on_version_ = std::move(listener); }

 private:
  /// Time for which a silent server keeps a connection open.
  static constexpr seconds k_silence{60};

  awaitable<http::response> handle(http::request message);
  /// Runs a request and cuts off its answer.
  awaitable<void> cut_answer(http::request const& message, http::stream_writer& writer);
  awaitable<bool> stream(http::request const& message, http::stream_writer& writer);
  awaitable<bool> write_events(http::stream_writer& writer, std::string request,
                               std::uint64_t from);
  /// Answers with a failure and cuts off its body.
  awaitable<void> cut_failure(http::request const& message, http::stream_writer& writer);
  order_arrival note_order(std::string const& body);
  awaitable<http::response> order(std::string body);
  awaitable<void> load(std::uint64_t version);
  /// Returns true if running the request crashes the server.
  bool is_poison(http::request const& message) const;
  /// Returns the budget of the crash that running the request causes; null if there is none.
  crash_budget const* find_budget(http::request const& message) const;
  awaitable<void> crash_under(http::request const& message);
  awaitable<void> start_next_incarnation(milliseconds pause);
  http::response report();
  /// Adds the load report header, if the server sends one.
  void add_load(http::response& answer);
  awaitable<http::response> run(std::string request);
  arrival note(http::request const& message);
  bool refuses(http::request const& message) const;
  http::response refusal(http::request const& message);

  asio::io_context& context_;
  server_options options_;
  http::server server_;
  server_faults faults_;
  std::vector<arrival> arrivals_;
  std::vector<order_arrival> orders_;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ = wall_clock_ms();
  std::uint32_t conflicting_orders_ = 0;
  bool busy_ = false;
  std::uint32_t abandoned_ = 0;
  std::function<void()> on_version_;
  std::function<void(std::string const&)> on_restart_;
  std::uint32_t crashes_ = 0;
  bool down_ = false;
  uneven_server uneven_;
  /// Requests that are being run.
  std::shared_ptr<std::uint32_t> running_ = std::make_shared<std::uint32_t>(0);
};

}  // namespace frostline::testing
