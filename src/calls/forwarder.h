/// @file Ordinary calls: from a caller's request to the answer of one server, whole or in events.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "calls/caller.h"
#include "calls/event_stream.h"
#include "calls/exchange.h"
#include "calls/give_up.h"
#include "calls/route_table.h"
#include "calls/server_selector.h"
#include "directory/server_directory.h"
#include "quarantine/service.h"
#include "usage/run_counter.h"

namespace frostline::calls {

/// What came of a call.
struct call_outcome {
  give_up_reason reason = give_up_reason::none;
  /// With reason none.
  http::response answer;
  std::uint32_t attempts = 0;
  /// Answers of 5xx among the attempts, the last one included.
  std::uint32_t failed_answers = 0;
  std::string server;
};

struct call_counters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t given_up = 0;
  std::uint64_t retries = 0;
  std::uint64_t callers_left = 0;
  /// Attempts that failed, by exchange_failure.
  std::array<std::uint64_t, k_exchange_failures> failed_attempts{};
};

/// References outlive the forwarder.
struct forwarder_dependencies {
  asio::io_context& context;
  directory::server_directory const& servers;
  connection_pool& connections;
  server_selector& selector;
  header_names const& names;
  /// Counts the requests of tenants.
  usage::run_counter& runs;
  quarantine::service& quarantine;
  /// How old this node's records are, for the log.
  std::function<milliseconds()> records_age;
};

class forwarder {
 public:
  explicit forwarder(forwarder_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Answers a client's request whose access was granted.
  /// @param table in force; null if there is none yet.
  /// @param by the request's route; null if there is none.
  /// @param tenant whose caller it is; may be empty.
  /// @param deadline of the client; the route may shorten it.
  awaitable<void> handle(std::shared_ptr<route_table const> table, route const* by,
                         http::request message, std::string tenant, time_point deadline,
                         caller& from);

  /// Sends a request of this system itself by a route; the answer is read whole.
  awaitable<call_outcome> call(std::shared_ptr<route_table const> table, route const& by,
                               http::request message, time_point deadline, caller* from);

  call_counters const& counters() const { return counters_; }

 private:
  /// One request on its way through its attempts.
  struct journey {
    std::shared_ptr<route_table const> table;
    route const* by = nullptr;
    http::request message;
    time_point deadline;
    caller* from = nullptr;
    std::string service;
    std::set<std::string> tried;
    /// Servers that took no connection after all had been tried.
    std::set<std::string> unreachable;
    std::uint32_t attempts = 0;
    time_point attempt_begun{};
    std::uint32_t failed_answers = 0;
    bool may_have_run = false;
    bool was_refused = false;
    std::string server;
    /// Empty: no tenant's request.
    std::string tenant;
    /// A server has begun to run it, as far as is known; it is counted once.
    bool counted = false;
    /// Set when it is first needed.
    std::optional<quarantine::fingerprint> identity;
    /// How often a server's connection broke under it.
    std::uint32_t broken_attempts = 0;
    /// A kept connection gave no answer: further attempts use new ones, or each could meet a dead
    /// one and the last would wait for the whole deadline.
    bool has_met_silence = false;
    /// It ends servers, so no other one gets it.
    bool is_quarantined = false;
    /// When it may be tried again, as far as is known.
    std::optional<milliseconds> next_try;
    /// It is sent once, to see whether it still does.
    bool is_trial = false;
    give_up_reason reason = give_up_reason::none;
  };

  journey begin(std::shared_ptr<route_table const> table, route const& by, http::request message,
                time_point deadline, caller* from);
  /// Makes attempts until a server's answer has begun. @return null if the request is given up.
  awaitable<std::unique_ptr<exchange>> next_exchange(journey& one);
  awaitable<exchange_failure> attempt(journey& one, exchange& with);
  /// Whether a server says that it has not run the request.
  bool is_refusal(http::response const& head) const;
  /// Whether the server's answer may be taken; else the next attempt follows.
  bool accepts(journey& one, exchange& with);
  void note_failure(journey& one, exchange const& with, exchange_failure failure);
  /// The caller has left.
  void note_abandoned(journey& one, exchange const& with);
  /// The server may still be at work on what was given up, and end.
  void note_abandoned_run(journey& one, exchange const& with);
  quarantine::fingerprint const& identify(journey& one) const;
  /// What the tenant's usage owes to an attempt.
  void count_run(journey& one, usage::run_counter::attempt_id attempt, bool may_have_begun,
                 bool is_event_stream);
  void note_whole_answer(journey& one, exchange const& with);
  /// A server has answered: the request is none that ends its servers.
  void clear_suspicion(journey& one, exchange const& with);
  void conclude_without_answer(journey& one);
  bool may_try_again(journey const& one) const;
  /// Whether a request should run apart from others: servers may end under it.
  bool is_suspect(journey& one) const;
  /// Has it recorded, before its next run, that servers have ended under a request.
  awaitable<void> record_suspicion(journey& one);
  /// Whether a request must not go to a server now, since servers have ended under it.
  awaitable<bool> is_held_back(journey& one);
  time_point attempt_deadline(journey const& one) const;
  awaitable<call_outcome> run_whole(journey& one);
  /// Reads the rest of an answer. @return false if it broke.
  awaitable<bool> read_whole(journey& one, exchange& with, http::response& into);
  awaitable<void> run_stream(journey& one);
  /// Passes events on. @return true if the stream has ended or can't go on.
  awaitable<bool> pump(journey& one, exchange& with, event_splitter& splitter, bool& begun);
  awaitable<void> answer_give_up(journey& one);
  void log_outcome(journey& one, unsigned status, std::string_view sentence);

  forwarder_dependencies dependencies_;
  share_picker shares_;
  call_counters counters_;
};

}  // namespace frostline::calls
