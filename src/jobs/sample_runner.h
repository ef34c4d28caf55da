/// @file Runs the samples of a pool's jobs on its engines.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/asio.h"
#include "calls/exchange.h"
#include "calls/forwarder.h"
#include "calls/route_table.h"
#include "directory/server_directory.h"
#include "engines/engine_board.h"
#include "jobs/job_table.h"
#include "jobs/sample_scorer.h"
#include "quarantine/service.h"

namespace frostline::jobs {

/// References outlive the runner.
struct runner_dependencies {
  asio::io_context& context;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
  calls::header_names const& names;
  engines::engine_board& board;
  quarantine::service& quarantine;
  job_table& table;
  /// Whether this process has not stood still so long that another owner may have ended the job.
  std::function<bool()> may_send_again;
  /// Something changed that the owner may act on.
  std::function<void()> notify;
};

struct runner_counters {
  std::uint64_t runs = 0;
  std::uint64_t completed = 0;
  std::uint64_t broken = 0;
  std::uint64_t moved = 0;
  /// Given up by the engine's own answers.
  std::uint64_t dead = 0;
};

class sample_runner {
 public:
  explicit sample_runner(runner_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Starts what can be started, and moves runs off slow engines.
  void advance(time_point now);
  /// Closes the runs of one job, or of all jobs if `job` is empty.
  void abort_runs(std::string const& job);
  /// Closes the run of one sample.
  void abort_run(std::string const& job, std::uint32_t index);
  std::size_t running() const { return runs_.size(); }
  /// Whether a run of this engine must not mix versions.
  bool has_single_version_run(std::string const& engine) const;
  runner_counters const& counters() const { return counters_; }
  scorer_counters const& scoring() const { return scorer_.counters(); }

 private:
  /// How a run ended.
  enum class run_end {
    completed,
    /// Refused by the engine, not run.
    refused,
    /// No answer, or it broke off.
    broken,
    /// The engine answered that it failed.
    failed,
    /// The engine answered that it can never be done.
    impossible,
    /// What came can't be used: start over.
    unusable,
    /// The engine's version is too old for the job.
    old_version,
    /// Given up by this side to run elsewhere.
    moved,
    /// Nobody wants it any more.
    unwanted,
  };

  struct open_run {
    calls::exchange* exchange = nullptr;
    bool moving = false;
    bool single_version = false;
    std::string engine;
    time_point sent_at{};
    /// Set when the run is given up because its sample is not wanted any more.
    std::optional<quarantine::fingerprint> request;
  };
  using run_id = std::uint64_t;

  engines::run_requirements need_of(job const& owner, sample const& one) const;
  /// Whether the sample must not share its engine with another one of which this holds: it is tried
  /// under quarantine, or one more engine that ends under it would put it there.
  bool must_be_isolated(job& owner, std::uint32_t index, time_point now) const;
  /// Whether a sample may go to an engine: not one under which engines have ended, but for a trial.
  bool may_start(job& owner, std::uint32_t index, time_point now);
  awaitable<void> ask_for_trial(quarantine::fingerprint request);
  /// @param isolated whether must_be_isolated held.
  void start(job& owner, std::uint32_t index, engines::engine_entry const& engine, bool isolated);
  void move_slow_runs(time_point now);
  /// Has the engine looked at if it may have ended under the run, or may yet.
  void note_end_of_run(run_id id, run_key const& key, directory::server const& engine, run_end end,
                       bool has_broken);
  /// Whether this side closed the run's connection while the engine may have been at work.
  static bool is_given_up(run_end end);
  void abort(run_id id, open_run& open);
  milliseconds pause_after_break(job& owner, std::uint32_t index) const;
  awaitable<void> run(run_key key, directory::server engine, std::uint64_t tokens,
                      std::string group, bool isolated);
  awaitable<run_end> drive(run_key const& key, calls::exchange& with);
  awaitable<run_end> read_events(run_key const& key, calls::exchange& with);
  run_end take_head(calls::exchange const& with) const;
  run_end take_events(run_key const& key, std::vector<calls::stream_event> const& events,
                      std::uint64_t& version);
  http::request make_request(job const& owner, sample const& one) const;
  void conclude(run_key const& key, std::string const& engine, run_end end);
  void conclude_failure(job& owner, run_key const& key, sample& one);
  std::string_view name_of(run_end end) const;

  runner_dependencies dependencies_;
  std::map<run_id, open_run> runs_;
  std::map<run_id, run_key> keys_;
  run_id next_run_ = 1;
  sample_scorer scorer_{scorer_dependencies{dependencies_.context, dependencies_.configuration,
                                            dependencies_.servers, dependencies_.forwarder,
                                            dependencies_.names, dependencies_.table,
                                            dependencies_.may_send_again, dependencies_.notify}};
  calls::share_picker shares_;
  /// Requests that this node may send once.
  std::set<quarantine::fingerprint> trials_;
  /// Engines that run an isolated sample.
  std::set<std::string> isolating_engines_;
  runner_counters counters_;
};

}  // namespace frostline::jobs
