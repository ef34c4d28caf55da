/// @file Stand-in of a server of the platform: a model server if it has a model, else an
/// application server. It speaks the published protocol and does what a case tells it to.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"
#include "record.h"

namespace frostline::review {

struct server_options {
  std::string id;
  std::string service;
  std::string zone;
  endpoint address;
  std::uint32_t slots = 8;
  /// Model servers only.
  std::string model;
  std::uint32_t events = 20;
  milliseconds event_gap{50};
  /// Time to change the version of the weights.
  milliseconds load_time{900};
};

/// A request that a server ran.
struct run {
  std::string request;
  std::int64_t began_ms = 0;
  /// Status that the server gave, also if its answer was broken off.
  unsigned status = 0;
  /// Time at which the server stopped working on it; nothing while it is at work.
  std::optional<std::int64_t> ended_ms;
  /// The server made its whole answer.
  bool finished = false;
};

/// An order that a server received.
struct order {
  std::int64_t at_ms = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

/// Use only on the stand-ins' thread.
class server {
 public:
  server(asio::io_context& context, server_options options, record& log);

  /// Identifier of the current incarnation.
  std::string id() const { return options_.id + "." + std::to_string(incarnation_); }
  std::string const& service() const { return options_.service; }
  /// Returns the server's record for the store.
  std::string description() const;
  /// Sets a listener that is called when the record has changed.
  void on_change(std::function<void()> listener) { on_change_ = std::move(listener); }
  /// Returns true while the current incarnation runs a request with this identifier.
  bool is_running(std::string const& request) const { return requests_.contains(request); }
  /// Ends like a killed process. A new incarnation starts at the same address after `down_time`.
  void crash(milliseconds down_time);
  bool is_down() const { return down_; }
  /// Answers each request whose number among this server's requests is a multiple of `each` with
  /// status 500; 0 for none.
  /// @param broken_off the answer ends in the middle of its body.
  void fail_requests(std::uint32_t each, bool broken_off);

  std::vector<run> const& runs() const { return runs_; }
  std::vector<order> const& orders() const { return orders_; }
  std::uint32_t running() const { return running_; }
  std::uint64_t version() const { return version_; }

 private:
  enum class load_mode { suspend, truncate, retain };

  awaitable<http::response> answer(http::request message);
  awaitable<bool> stream(http::request const& message, http::stream_writer& writer);
  awaitable<bool> write_events(http::stream_writer& writer, std::size_t number,
                               std::uint64_t after);
  awaitable<bool> fail(http::request const& message, http::stream_writer& writer);
  http::response report() const;
  http::response take_order(std::string const& body);
  awaitable<void> load(std::uint64_t version, load_mode mode);
  awaitable<void> start_again(milliseconds down_time);
  http::response refusal(http::request const& message, http::status code);
  /// Returns the status with which a request is turned away; `ok` if it is run.
  http::status admission(http::request const& message) const;
  std::size_t begin_run(http::request const& message);

  asio::io_context& context_;
  server_options options_;
  record& record_;
  http::server server_;
  std::function<void()> on_change_;
  std::vector<run> runs_;
  std::vector<order> orders_;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  bool busy_ = false;
  bool down_ = false;
  std::uint32_t incarnation_ = 1;
  std::uint32_t running_ = 0;
  /// Identifiers of the running requests.
  std::multiset<std::string> requests_;
  /// Incremented when running streams are cut.
  std::uint64_t cut_ = 0;
  std::uint32_t fail_each_ = 0;
  bool breaks_failures_ = false;
};

}  // namespace frostline::review
