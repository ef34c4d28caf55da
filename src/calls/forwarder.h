/// @file Forwards ordinary calls from clients to servers, with retries; answers are complete or
/// streamed as events.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "balancing/attempt_times.h"
#include "calls/answer_memory.h"
#include "calls/call_failure.h"
#include "calls/caller.h"
#include "calls/event_stream.h"
#include "calls/exchange.h"
#include "calls/route_table.h"
#include "calls/server_selector.h"
#include "directory/server_directory.h"
#include "quarantine/service.h"
#include "usage/run_counter.h"

namespace frostline::calls {

struct call_outcome {
  call_failure reason = call_failure::none;
  /// Set if `reason` is none.
  http::response answer;
  std::uint32_t attempts = 0;
  /// Complete answers with status 500 over all attempts, including the last one. Other statuses of
  /// 500 and above are not counted: a server that is slow answers 504 at its deadline, and a later
  /// attempt may succeed.
  std::uint32_t server_errors = 0;
  /// Id of the server of the last attempt; empty if there was none.
  std::string server;
};

struct call_counters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t retries = 0;
  std::uint64_t callers_left = 0;
  /// Event streams that a client got only a part of, since no further attempt was allowed.
  std::uint64_t truncated_streams = 0;
  /// Failed attempts, indexed by exchange_failure.
  std::array<std::uint64_t, k_exchange_failures> failed_attempts{};
  /// Attempts that ended at a limit that was early for the service's usual response times.
  std::uint64_t early_timeouts = 0;
  /// Attempts that reached such a limit and went on, for lack of budget.
  std::uint64_t early_timeouts_denied = 0;
};

/// References must outlive the forwarder.
struct forwarder_dependencies {
  asio::io_context& context;
  directory::server_directory const& servers;
  connection_pool& connections;
  server_selector& selector;
  header_names const& names;
  /// Counts the requests of tenants.
  usage::run_counter& runs;
  quarantine::service& quarantine;
  /// Age of this node's copy of the store's records, for log lines.
  std::function<milliseconds()> records_age;
  /// Returns true if attempts end early by the time that servers usually take. Asked for each
  /// attempt.
  std::function<bool()> times_attempts = [] { return false; };
  /// Memory that all answers may take up together, and so the limit of a single one.
  std::size_t answer_bytes = k_max_answer_bytes;
};

class forwarder {
 public:
  explicit forwarder(forwarder_dependencies dependencies)
      : dependencies_(std::move(dependencies)), answers_(dependencies_.answer_bytes) {}

  /// Answers a client's request that has passed the access check.
  /// @param table the configuration in force; null if there is none yet.
  /// @param matched_route null if no route matches.
  /// @param tenant name of the client's tenant; may be empty.
  /// @param deadline of the client; the route's timeout may shorten it.
  awaitable<void> handle(std::shared_ptr<route_table const> table, route const* matched_route,
                         http::request message, std::string tenant, time_point deadline,
                         caller& client);

  /// Sends a request and reads the complete answer.
  /// @param client null for requests that the gateway itself makes.
  awaitable<call_outcome> call(std::shared_ptr<route_table const> table, route const& matched_route,
                               http::request message, time_point deadline, caller* client);

  call_counters const& counters() const { return counters_; }

 private:
  /// State of one request across its attempts.
  struct request_state {
    std::shared_ptr<route_table const> table;
    route const* matched_route = nullptr;
    http::request message;
    time_point deadline;
    caller* client = nullptr;
    std::string service;
    std::set<std::string> tried;
    /// Servers that could not be connected to after all servers had been tried.
    std::set<std::string> unreachable;
    std::uint32_t attempts = 0;
    time_point attempt_started_at{};
    /// Limit that applies to the current attempt, from its start, or to a pause of its event
    /// stream; for log lines.
    milliseconds attempt_timeout{0};
    /// The current attempt was ended at its early limit.
    bool timed_out_early = false;
    /// Complete answers with status 500.
    std::uint32_t server_errors = 0;
    /// Counts the memory of the answer until the client has it.
    std::unique_ptr<answer_memory::reader> answer_bytes;
    /// Set by the first attempt that reached a server, unless the server states that it has not run
    /// the request.
    bool may_have_run = false;
    bool was_refused = false;
    std::string server;
    /// Empty if the request belongs to no tenant.
    std::string tenant;
    /// Set once a server may have begun to run the request, so that its usage is counted only once.
    bool usage_counted = false;
    /// Computed on first use by `fingerprint_of`.
    std::optional<quarantine::fingerprint> request_fingerprint;
    /// Attempts that ended with a broken connection.
    std::uint32_t broken_attempts = 0;
    /// A pooled connection was silent. Further attempts use new connections, since each pooled one
    /// may be dead and the last attempt would wait for the whole deadline.
    bool saw_silent_connection = false;
    /// The quarantine forbids sending the request now, since it may crash servers.
    bool is_quarantined = false;
    /// Time until the next trial of a quarantined request, if known.
    std::optional<milliseconds> retry_delay;
    /// The request is sent once, to find out whether it still crashes its server.
    bool is_trial = false;
    /// Held during an attempt that no caller waits for, while the quarantine has suspects.
    std::shared_ptr<void> unattended_run;
    /// A server may have begun to run the trial.
    bool trial_ran = false;
  };

  request_state begin(std::shared_ptr<route_table const> table, route const& matched_route,
                      http::request message, time_point deadline, caller* client);
  /// Makes attempts until a server's answer begins. @return null if no further attempt may be made.
  awaitable<std::unique_ptr<exchange>> next_exchange(request_state& state);
  awaitable<exchange_failure> attempt(request_state& state, exchange& upstream);
  /// Returns true if the server states that it has not run the request.
  bool is_refusal(http::response const& head) const;
  /// Returns true if the answer is to be passed on, false if another attempt should follow.
  bool accepts(request_state& state, exchange& upstream);
  /// Counts the answer if it is a complete server error.
  static void count_server_error(request_state& state, exchange const& upstream);
  /// Reads the rest of an answer after which another attempt follows, for a bounded time.
  awaitable<void> discard_answer(request_state& state, exchange& upstream);
  void note_failure(request_state& state, exchange const& upstream, exchange_failure failure);
  /// Updates the selector and the quarantine after the client has disconnected.
  void note_caller_left(request_state& state, exchange const& upstream);
  /// Reports a request that may still run at the server after this side stopped waiting, since it
  /// may yet crash the server.
  void note_abandoned_run(request_state& state, exchange const& upstream);
  static balancing::work_kind work_of(request_state const& state);
  /// Time since the start of the current attempt.
  static milliseconds time_spent(request_state const& state);
  /// Share of requests like this one that may probe a slow server; 0 for those that would not be
  /// sent again if the probe fails, and for further attempts, which have little time left.
  static double probe_share(request_state const& state);
  /// Notes the load report of an answer's head, if there is one.
  void measure_load(exchange const& upstream);
  /// Notes the result of an attempt, and its time if that can be compared with others.
  void measure_answer(request_state const& state, exchange const& upstream);
  /// Notes an attempt without a usable answer.
  void measure_failure(request_state const& state, exchange const& upstream,
                       exchange_failure failure);
  /// Notes the time spent on an attempt that was given up, as a lower bound.
  void measure_late(request_state const& state, exchange const& upstream);
  quarantine::fingerprint const& fingerprint_of(request_state& state) const;
  /// Ends an attempt in `runs`. Counts the request for its tenant, at most once, if a server may
  /// have begun to run it.
  void count_run(request_state& state, usage::run_counter::attempt_id attempt, bool may_have_begun,
                 bool is_event_stream);
  void note_whole_answer(request_state& state, exchange const& upstream);
  /// Reports that a server survived the request.
  void clear_suspicion(request_state& state, exchange const& upstream);
  /// Returns why the request got no answer; never `none`.
  call_failure failure_reason(request_state const& state) const;
  bool may_try_again(request_state const& state) const;
  /// Returns true if the request should be isolated from others, since it may crash its server.
  bool is_suspect(request_state& state) const;
  /// Stores the evidence against a suspect request before its next run.
  awaitable<void> record_suspicion(request_state& state);
  /// Returns true if the quarantine allows sending the request now, possibly as its trial, which
  /// this claims.
  awaitable<bool> may_run(request_state& state);
  /// Returns true if the quarantine forbids sending the request. May claim the request's trial.
  /// Waits for the outcome of a trial in progress, for up to half of the time that is left to the
  /// caller.
  awaitable<bool> is_blocked_by_quarantine(request_state& state);
  /// Counts and logs the refusal, and sets what the answer to the caller needs.
  void note_quarantined(request_state& state);
  /// Until when an attempt may wait for the head of its answer.
  struct attempt_deadlines {
    /// Applies unless the attempt is ended at `early`.
    time_point usual;
    /// Earlier limit by the service's response times, if there is one. To end the attempt at it
    /// takes a token of the service's budget.
    std::optional<time_point> early;
  };

  /// Returns the deadlines of an attempt that starts at `now`.
  attempt_deadlines attempt_deadline(request_state const& state, time_point now) const;
  /// Starts a timer that ends the attempt at its early limit if the budget allows it. Destroying
  /// the returned guard stops it.
  std::shared_ptr<boot_timer> start_early_timer(request_state& state, exchange& upstream,
                                                time_point limit);
  void end_early(request_state& state, exchange& upstream);
  /// Reports an attempt that timed out.
  void note_timeout(request_state& state, exchange const& upstream);
  awaitable<call_outcome> run_whole(request_state& state);
  /// Appends the rest of an answer's body to `body`, up to the size that this node keeps.
  awaitable<exchange_failure> read_body(request_state& state, exchange& upstream,
                                        std::string& body);
  /// Reads the rest of an answer, and removes the headers of its connection. @return false if the
  /// attempt failed, which is noted.
  awaitable<bool> read_whole(request_state& state, exchange& upstream,
                             http::response& whole_answer);
  awaitable<void> run_stream(request_state& state);
  /// Returns true if a stream that fails now may be sent to another server.
  static bool can_go_on_elsewhere(request_state const& state);
  /// Forwards complete events. @return false if the stream did not come to its end.
  awaitable<bool> forward_events(request_state& state, exchange& upstream, event_splitter& splitter,
                                 bool& begun);
  /// Sends a server's complete answer to the client.
  awaitable<void> pass_on(request_state& state, http::response whole_answer);
  awaitable<void> answer_failure(request_state& state, call_failure reason);
  /// Counts and logs a stream that ends although the client has only a part of it.
  void note_truncated(request_state& state);
  void log_outcome(request_state& state, unsigned status, call_failure reason,
                   std::string_view log_message);

  forwarder_dependencies dependencies_;
  share_picker shares_;
  balancing::attempt_times times_;
  call_counters counters_;
  answer_memory answers_;
};

}  // namespace frostline::calls
