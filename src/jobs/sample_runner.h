/// @file Runs the samples of a pool's jobs on its engines.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "calls/exchange.h"
#include "calls/forwarder.h"
#include "calls/route_table.h"
#include "directory/server_directory.h"
#include "engines/engine_board.h"
#include "jobs/job_table.h"
#include "jobs/sample_scorer.h"
#include "jobs/service_chooser.h"
#include "scheduling/run_estimate.h"
#include "scheduling/sample_order.h"

namespace frostline::jobs {

/// References must outlive the runner.
struct runner_dependencies {
  asio::io_context& context;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
  calls::header_names const& names;
  engines::engine_board& board;
  job_table& table;
  /// Learns from completed runs.
  scheduling::run_estimate& estimates;
  /// Returns false if another owner may have taken over while this process was suspended.
  std::function<bool()> may_resend;
  /// Wakes up the owner's loop.
  std::function<void()> notify;
};

struct runner_counters {
  std::uint64_t runs = 0;
  std::uint64_t completed = 0;
  std::uint64_t broken = 0;
  std::uint64_t moved = 0;
  /// Samples marked dead because of the engine's answers.
  std::uint64_t dead = 0;
  /// Runs that started when less than their expected time was left until their job was due. Counted
  /// while samples are ordered by due time.
  std::uint64_t started_without_slack = 0;
  /// Reported long waits, by the obstacle: of samples that had begun, or for which the pool had
  /// room.
  std::array<std::uint64_t, engines::k_run_obstacles> long_waits{};
};

class sample_runner {
 public:
  explicit sample_runner(runner_dependencies dependencies)
      : dependencies_(std::move(dependencies)), services_(dependencies_.board) {}

  /// Starts runnable samples and moves at most one run off a slow engine.
  /// @param order see `job_table::runnable`.
  void advance(time_point now, scheduling::sample_order const* order);
  /// Aborts the runs of one job, or of all jobs if `job` is empty.
  void abort_runs(std::string const& job);
  /// Aborts the run of one sample.
  void abort_run(std::string const& job, std::uint32_t index);
  std::size_t running() const { return runs_.size(); }
  /// Returns true if the engine has a run that must not mix weight versions.
  bool has_single_version_run(std::string const& engine) const;
  runner_counters const& counters() const { return counters_; }
  scorer_counters const& scoring() const { return scorer_.counters(); }

 private:
  enum class run_outcome {
    completed,
    /// The engine refused the request without running it.
    refused,
    /// No valid response, a timeout, or the connection broke off after the request was sent.
    broken,
    /// The engine reported a failure.
    failed,
    /// The engine reported that the request can never succeed.
    impossible,
    /// The text would mix weight versions; the sample starts over.
    unusable,
    /// The engine's weight version is too old for the job.
    old_version,
    /// Aborted by this node to continue on another engine.
    moved,
    /// The job ended or the run was superseded.
    unwanted,
    /// No connection could be opened.
    unreachable,
  };

  struct open_run {
    calls::exchange* exchange = nullptr;
    bool moving = false;
    bool single_version = false;
    std::string engine;
  };
  using run_id = scheduling::run_id;

  engines::run_requirements make_run_need(job_entry const& job, sample_entry const& sample) const;
  /// Starts a run of the sample on `engine`.
  /// @param need requirements by which the engine was chosen.
  /// Chooses an engine for a sample that has waited for long: also one of another service of its
  /// route, or one whose memory may not suffice but that is less than half full.
  /// @param need changed to what the engine was chosen for.
  /// @return null if there is none, or if the sample is not due.
  engines::engine_entry const* reconsider(run_candidate const& next, calls::route const& route,
                                          engines::run_requirements& need, time_point now);
  void set_service(run_candidate const& next, std::string const& service, std::string_view cause);
  void start(run_candidate const& next, engines::engine_entry const& engine,
             engines::run_requirements const& need);
  /// Logs, at intervals, that no engine can run the sample, if it has waited for long.
  void note_no_engine(run_candidate const& next, engines::run_requirements const& need,
                      time_point now);
  /// Drops the sample's text, which must not mix versions, if engines with other versions can run
  /// the sample. @param need requirements with the text's version, which no engine has.
  void restart_if_version_is_gone(run_candidate const& next, engines::run_requirements need,
                                  time_point now);
  /// Returns true if another sample's wait may be reported in this second.
  bool may_report_wait(time_point now);
  /// Returns true if the sample has waited for long and this was not logged lately.
  static bool is_wait_due(run_candidate const& next, time_point now);
  static time_point waiting_since(run_candidate const& next);
  static void log_wait(run_candidate const& next, std::string_view reason, time_point now);
  void move_slow_runs(time_point now);
  awaitable<void> run(run_id id, run_key key, directory::server engine, std::uint64_t tokens,
                      std::string group);
  awaitable<run_outcome> execute(run_id id, run_key const& key, calls::exchange& exchange);
  awaitable<run_outcome> read_events(run_id id, run_key const& key, calls::exchange& exchange);
  run_outcome classify_response(calls::exchange const& exchange) const;
  /// Reads the rest of an answer that ends the run without a text. @return `outcome` if the answer
  /// is complete; `broken` otherwise, since a cut answer proves nothing about the request.
  awaitable<run_outcome> confirm_failure(calls::exchange& exchange, run_outcome outcome) const;
  run_outcome take_events(run_key const& key, std::vector<calls::stream_event> const& events,
                          std::uint64_t& version);
  /// Lets the estimates learn from a run whose text is complete.
  void note_completed(run_key const& key, sample_entry const& sample,
                      scheduling::event_timer const& timer);
  http::request make_request(job_entry const& job, sample_entry const& sample) const;
  void finish_run(run_key const& key, std::string const& engine, run_outcome outcome);
  /// Logs the start of a run; with its slack while samples are ordered by due time, and with the
  /// engine's expected peak usage while memory is planned.
  void log_start(run_candidate const& next, run_key const& key,
                 engines::engine_entry const& engine) const;
  void finish_failed_run(job_entry& job, run_key const& key, sample_entry& sample);
  std::string_view name_of(run_outcome outcome) const;
  /// Returns true if the engine, or the path to it, failed.
  static bool is_break(run_outcome outcome);

  runner_dependencies dependencies_;
  std::map<run_id, open_run> runs_;
  std::map<run_id, run_key> keys_;
  run_id next_run_ = 1;
  sample_scorer scorer_{scorer_dependencies{dependencies_.context, dependencies_.configuration,
                                            dependencies_.servers, dependencies_.forwarder,
                                            dependencies_.names, dependencies_.table,
                                            dependencies_.may_resend, dependencies_.notify}};
  service_chooser services_;
  runner_counters counters_;
  /// Waits reported since this time.
  time_point wait_reports_since_ = time_point::min();
  std::uint32_t wait_reports_ = 0;
};

}  // namespace frostline::jobs
