/// @file Owner of a pool: accepts jobs, runs their samples and lists their results. Accepts
/// jobs only while this node holds the pool's lease; runs may continue for a while after a loss of
/// the lease (see run_permission).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "calls/forwarder.h"
#include "engines/engine_board.h"
#include "engines/engine_control.h"
#include "engines/weight_orders.h"
#include "jobs/iteration_timer.h"
#include "jobs/job_table.h"
#include "jobs/progress_replica.h"
#include "jobs/read_budget.h"
#include "jobs/record_log.h"
#include "jobs/run_permission.h"
#include "jobs/sample_runner.h"
#include "kv/record_store.h"
#include "ownership/owner_lease.h"
#include "scheduling/run_estimate.h"
#include "scheduling/sample_order.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// References must outlive the owner.
struct pool_owner_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  kv::store_limits limits;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
  calls::header_names const& names;
  engines::engine_control& control;
  ownership::owner_lease& lease;
  http::client& transport;
  std::string node;
  std::string zone;
  /// Time after a job's acceptance or loading from which on the job is deleted, if it is closed
  /// (ended, or with all results listed).
  milliseconds retention{140'000};
  /// Names of all pools but this one. A configuration may move a route to another pool while its
  /// jobs are open.
  std::function<std::vector<std::string>()> other_pools = [] { return std::vector<std::string>(); };
  /// Returns true if samples are ordered by the time that is left until they are due.
  std::function<bool()> orders_by_due_time = [] { return false; };
  /// Returns true if runs are admitted by the memory that they hold over time.
  std::function<bool()> plans_memory = [] { return false; };
  /// Returns true if jobs that take this many bytes may be taken beside those of all pools of this
  /// node.
  std::function<bool(std::size_t)> has_memory = [](std::size_t) { return true; };
};

/// standby -> loading: the lease was acquired.
/// loading -> active: the stored jobs are loaded; loading -> standby: the lease was lost.
/// active -> suspended: the lease was lost.
/// suspended -> loading: the lease was acquired again.
/// active or suspended -> standby: another node owns the pool.
enum class owner_state { standby, loading, active, suspended };

class pool_owner {
 public:
  /// Rate limit of results of closed jobs that the owner sends to other nodes. Above the limit, the
  /// other nodes read the record store themselves.
  static constexpr std::size_t k_read_bytes_per_second = 1 << 20;

  explicit pool_owner(pool_owner_dependencies dependencies);

  void start();
  owner_state state() const { return state_; }
  engines::weight_orders& orders() { return orders_; }
  sample_runner const& runner() const { return runner_; }
  engines::memory_counters const& memory() const { return board_.memory(); }
  record_log const& log() const { return log_; }
  std::size_t jobs() { return table_.jobs().size(); }
  /// Memory that jobs take until they end, in bytes: the records of those that are known, and what
  /// those that are being stored take beside.
  std::size_t job_bytes() const;
  /// Duration of the longest iteration of the owner's loop so far.
  milliseconds longest_iteration() const { return longest_iteration_; }

  /// Handles a call of a submitter, made on this node or forwarded by another.
  awaitable<rpc::JobReplyT> handle(rpc::JobCallT call);
  /// Takes a progress report: from the pool's owner to this replica, or from a replica of the
  /// previous owner to this owner.
  rpc::ProgressReplyT replicate(rpc::ProgressReportT report);
  /// Wakes up the owner's loop, for example after a change of the configuration.
  void notify();
  /// Marks these servers as added, changed or removed, so that the owner's loop updates its list of
  /// engines. On a node in standby, the whole list is rebuilt when the node becomes owner.
  void note_servers(std::vector<std::string> const& ids);
  /// @param exists whether the store has the mark that this pool has jobs.
  void note_pool_mark(bool exists) { has_pool_mark_ = exists; }
  /// Commits finished results and replicates progress before the lease is handed over. Waits for
  /// the commits until `deadline`.
  awaitable<void> flush(time_point deadline);

 private:
  void on_lease_gained();
  void on_lease_lost();
  /// Aborts all runs, discards the pool's jobs and engines and returns to standby, because another
  /// node has taken over the pool.
  void drop_state();
  /// Reports a job's demand to the planner of weight loads.
  void note_job(rpc::JobRecordT const& record);
  /// Loads the pool's jobs after the lease was acquired, then becomes active.
  awaitable<void> load(std::uint64_t term);
  awaitable<bool> load_marks(std::uint64_t term);
  /// Jobs that are being read concurrently.
  struct load_progress {
    std::vector<stored_job> jobs;
    std::size_t remaining = 0;
    bool failed = false;
  };
  /// Loads open jobs. @return false if a read failed or the term is over.
  awaitable<bool> load_jobs(std::vector<std::string> ids, std::uint64_t term);
  awaitable<void> read_job_into(std::string id, std::shared_ptr<load_progress> progress,
                                std::size_t place);
  /// Waits for a bounded time while the owner is loading or suspended.
  awaitable<void> wait_until_ready(rpc::JobCallT const& call);
  /// Reads a job's data; returns nothing if the store did not answer.
  awaitable<std::optional<stored_job>> read_stored(std::string id);
  void restore_job(std::string const& id, stored_job stored);
  /// Gives up the items that no request can be made of. Versions that did not check jobs may have
  /// stored such items.
  void mark_faulty_items_dead(std::string const& id, time_point now);
  /// Waits for a bounded time until the data of an ended job is loaded.
  awaitable<void> ensure_loaded(std::string id);
  /// Answers a call about an unloaded ended job from the job's end mark; returns nothing if the
  /// job's data is needed.
  std::optional<rpc::JobReplyT> reply_from_mark(rpc::JobCallT const& call);
  /// Queues an ended job for loading. Jobs are loaded one at a time, so that they don't delay this
  /// node's writes.
  void request_ended_job(std::string const& id);
  awaitable<void> load_ended_jobs_loop(std::uint64_t term);
  awaitable<void> load_ended_job(std::string id, std::uint64_t term);
  awaitable<void> advance_loop();
  void advance();
  /// Updates the settings of open jobs from the active configuration.
  void refresh_policies();
  /// Plans weight loads, commits results, and writes checkpoints.
  void update_records(iteration_timer& timer, time_point now);
  void log_slow_iteration(iteration_timer const& timer);
  void refresh_board();
  void rebuild_board();
  void commit_results(bool all);
  /// Stores the progress of long runs periodically, in case this node and its replicas are lost
  /// together.
  void write_checkpoint(time_point now);
  /// Writes the mark that the pool has jobs, if there is none.
  void ensure_pool_mark();
  /// Keeps the pool's mark as long as the pool has jobs or the configuration names it.
  void update_pool_mark();
  /// Deletes ended jobs that are past their retention. A job is kept until its submitter ends it,
  /// also when all of its results are listed: the submitter may read them late.
  void forget_expired_jobs(time_point now);
  awaitable<void> erase(std::string id);
  awaitable<rpc::JobReplyT> submit(rpc::JobCallT call);
  /// Writes a job's record. If the write takes long, the job's samples start before it completes.
  void begin_submission(rpc::JobRecordT record);
  /// Lets a job's samples run while its record is still being written.
  awaitable<void> run_before_recorded(std::uint64_t term, std::shared_ptr<rpc::JobRecordT> record);
  /// Drops old jobs whose record was not stored and is no longer being written.
  void drop_unrecorded(time_point now);
  /// Drops a job that another pool has accepted. Its submission is answered with UNKNOWN_JOB.
  void drop_held_elsewhere(std::string const& id);
  /// Returns the job if its record is known to be stored, null otherwise.
  job_entry* find_recorded(std::string const& id);
  void accept(std::shared_ptr<rpc::JobRecordT> const& record);
  awaitable<rpc::JobReplyT> list(rpc::JobCallT call);
  rpc::JobReplyT get_body(rpc::JobCallT const& call);
  awaitable<rpc::JobReplyT> end(rpc::JobCallT call);
  /// Logs the phase times of the sample that finished last.
  void log_last_sample(job_entry const& job) const;
  /// Sends this node's replica of the previous owner's progress to the new owner.
  void offer_replica();
  awaitable<void> send_offer(endpoint where, rpc::ProgressReportT report);
  void adopt(rpc::ProgressReportT const& report);
  bool can_read() const;
  /// Returns true if a job unknown to this node does not exist, since the node has loaded the
  /// pool's records and holds the lease.
  bool is_authoritative() const;
  /// Returns false if another owner may have taken over while this process was suspended.
  bool may_resend() const;

  pool_owner_dependencies dependencies_;
  owner_state state_ = owner_state::standby;
  /// Incremented when the lease is acquired or lost; operations of older terms are ignored.
  std::uint64_t term_ = 0;
  engines::engine_board board_;
  engines::weight_orders orders_;
  job_table table_;
  scheduling::run_estimate estimates_;
  scheduling::sample_order order_{estimates_};
  record_log log_;
  sample_runner runner_;
  progress_replica replica_;
  progress_sender progress_;
  /// Outcome of writing a job's end mark; null while the write is in flight.
  std::map<std::string, std::shared_ptr<write_outcome const>> end_writes_;
  /// Jobs whose record is being written, with the memory that they take meanwhile, in bytes.
  std::map<std::string, std::size_t> submitting_;
  /// Jobs submitted in this term that another pool has accepted.
  std::set<std::string> held_elsewhere_;
  /// Jobs whose record the store can't take, until their submitter is answered.
  std::set<std::string> too_large_;
  /// Ended jobs whose data is not loaded, with the contents of their marks.
  std::map<std::string, std::optional<rpc::JobEndT>> unloaded_ended_jobs_;
  /// Jobs of `unloaded_ended_jobs_` that are queued for loading.
  std::deque<std::string> requested_ended_jobs_;
  bool loading_ended_jobs_ = false;
  /// The store has the mark that this pool has jobs, or the mark is being written.
  bool has_pool_mark_ = false;
  /// Limits the results of closed jobs sent to other nodes.
  read_budget read_budget_{k_read_bytes_per_second};
  async_condition work_;
  async_condition loaded_;
  async_condition listed_;
  async_condition written_;
  bool work_pending_ = false;
  /// Servers to update on the board; all of them if `board_is_stale_`.
  std::set<std::string> changed_servers_;
  milliseconds longest_iteration_{0};
  bool board_is_stale_ = true;
  time_point orders_planned_at_{};
  time_point checkpoint_at_{};
  run_permission run_permission_{boot_clock::now()};
  /// Newest epoch of another owner that a replica reported.
  std::uint64_t newer_epoch_ = 0;
};

}  // namespace frostline::jobs
