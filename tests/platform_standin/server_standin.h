/// @file Stand-ins of the users' platform's servers, by their published protocol: application
/// servers and model servers, with incarnations, refusals, broken streams, late orders.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::testing {

/// One request that reached a server.
struct arrival {
  std::string request;
  std::string path;
  std::string body;
  std::string expected_instance;
  std::string last_event;
  std::string deadline;
  /// All values of the header, joined by commas.
  std::string tenant;
  std::string authorization;
  time_point at{};
  /// It was run, not refused.
  bool ran = false;
  /// The server ended because of it.
  bool crashed = false;
};

/// One order that reached a model server.
struct order_arrival {
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t version = 0;
  time_point at{};
};

struct server_faults {
  /// Refuse everything as full.
  bool full = false;
  /// Never answer.
  bool silent = false;
  /// So many answers of 500.
  std::uint32_t failures = 0;
  /// Streams break off after so many events; 0: they do not.
  std::uint32_t break_after = 0;
  /// So many streams break off.
  std::uint32_t breaks = 0;
  /// So many orders get no answer; they are carried out.
  std::uint32_t lost_orders = 0;
  /// So many requests are run and their answers broken off.
  std::uint32_t cuts = 0;
  /// So many answers are followed by another one.
  std::uint32_t surplus = 0;
  /// Requests whose bodies hold this text end the server that begins to run them; empty: none do.
  std::string crash_text;
  /// From the beginning of such a run to the server's end.
  milliseconds crash_after{20};
  /// From the server's end to its next life.
  milliseconds down_time{300};
  /// How long an application server works on a request.
  milliseconds work_time{0};
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
  /// A new life after a crash has the identifier of the one before.
  bool keeps_id = false;
};

class server_standin {
 public:
  server_standin(asio::io_context& context, server_options options);

  /// Its record in the store.
  std::string record(std::string const& state) const;
  /// A new life at the same address: it knows nothing of the one before but its weights.
  void restart(std::string const& id);
  /// Ends like a process that is killed. A new life begins at the same address after
  /// `down_time`.
  void crash();
  /// Runs when a new life has begun after a crash, with the identifier of the former one.
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
  /// Orders that were refused since they expected another count.
  std::uint32_t conflicting_orders() const { return conflicting_orders_; }
  void set_keeps_id(bool keeps) { options_.keeps_id = keeps; }
  /// When this life began, Unix milliseconds.
  std::uint64_t born() const { return born_; }
  /// Runs whose connection was closed before they ended.
  std::uint32_t abandoned() const { return abandoned_; }
  void on_version(std::function<void()> listener) { on_version_ = std::move(listener); }

 private:
  awaitable<http::response> handle(http::request message);
  /// Runs a request and breaks its answer off.
  awaitable<void> cut_answer(http::request const& message, http::stream_writer& writer);
  awaitable<bool> stream(http::request const& message, http::stream_writer& writer);
  awaitable<bool> write_events(http::stream_writer& writer, std::string request,
                               std::uint64_t from);
  order_arrival note_order(std::string const& body);
  awaitable<http::response> order(std::string body);
  awaitable<void> load(std::uint64_t version);
  /// Whether a request that is run here ends the server.
  bool is_poison(http::request const& message) const;
  awaitable<void> crash_under(http::request const& message);
  awaitable<void> start_next_incarnation(milliseconds pause);
  http::response report() const;
  arrival note(http::request const& message);
  bool refuses(http::request const& message) const;
  http::response refusal(http::request const& message) const;

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
};

}  // namespace frostline::testing
