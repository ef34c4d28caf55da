/// @file The owner's side of a pool: accepts jobs, has their samples run, lists results. Active
/// only while this node holds the pool's lease.
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
#include "jobs/job_table.h"
#include "jobs/progress_replica.h"
#include "jobs/read_budget.h"
#include "jobs/record_log.h"
#include "jobs/run_permission.h"
#include "jobs/sample_runner.h"
#include "jobs/turn_clock.h"
#include "kv/record_store.h"
#include "ownership/owner_lease.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// References outlive the owner.
struct pool_owner_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  kv::store_limits limits;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::connection_pool& connections;
  calls::forwarder& forwarder;
  quarantine::service& quarantine;
  calls::header_names const& names;
  engines::engine_control& control;
  ownership::owner_lease& lease;
  http::client& transport;
  std::string node;
  std::string zone;
  /// Ended jobs are forgotten that long after they were accepted.
  milliseconds retention{140'000};
};

/// standby -> loading (the lease was gained) -> active (the records are read) -> suspended (the
/// lease lapsed and nobody else is known to hold it) -> loading or standby; loading -> standby;
/// active -> standby (another node owns the pool).
enum class owner_state { standby, loading, active, suspended };

class pool_owner {
 public:
  /// Results of jobs that change no more that other nodes get from the owner; beyond that they read
  /// the record store. A seventh of a link of 60 Mbit/s.
  static constexpr std::size_t k_read_bytes_per_second = 1 << 20;

  explicit pool_owner(pool_owner_dependencies dependencies);

  void start();
  owner_state state() const { return state_; }
  engines::weight_orders& orders() { return orders_; }
  sample_runner const& runner() const { return runner_; }
  record_log const& log() const { return log_; }
  std::size_t jobs() { return table_.jobs().size(); }
  /// Of the owner's loop, so far.
  milliseconds longest_turn() const { return longest_turn_; }

  /// One call of a submitter, on this node or passed on by another.
  awaitable<rpc::JobReplyT> handle(rpc::JobCallT call);
  /// What the pool's owner reports to this node, or what a node holds of this owner's forerunner.
  rpc::ProgressReplyT replicate(rpc::ProgressReportT report);
  /// Something outside changed: configuration, versions.
  void notify();
  /// These servers may have changed, come or gone.
  void note_servers(std::vector<std::string> const& ids);
  /// Stores what is finished, before the lease is handed on. Ends by `deadline`.
  awaitable<void> flush(time_point deadline);

 private:
  void gained();
  void lost();
  void drop_everything();
  /// Tells what loads weights of a job that has come.
  void note_job(rpc::JobRecordT const& record);
  awaitable<void> load(std::uint64_t term);
  awaitable<bool> load_marks(std::uint64_t term);
  /// Jobs that are being read, all at once.
  struct load_progress {
    std::vector<stored_job> jobs;
    std::size_t left = 0;
    bool failed = false;
  };
  /// @return false if the store did not answer for one, or the term is over.
  awaitable<bool> load_all(std::vector<std::string> ids, std::uint64_t term);
  awaitable<void> read_into(std::string id, std::shared_ptr<load_progress> progress,
                            std::size_t place);
  /// Waits a while for an owner that reads its records, or whose lease has lapsed, to be ready.
  awaitable<void> wait_until_ready(rpc::JobCallT const& call);
  /// A job's data; nothing if the store did not answer.
  awaitable<std::optional<stored_job>> read_stored(std::string id);
  void take_stored(std::string const& id, stored_job stored);
  /// Waits, for a bounded time, until the data of an ended job is read.
  awaitable<void> ensure_loaded(std::string id);
  /// The answer to a call about an ended job whose data is not read; nothing if its data is needed.
  std::optional<rpc::JobReplyT> answer_unread(rpc::JobCallT const& call);
  /// Has the data of an ended job read: one after the other, since all at once would keep the
  /// answers to this node's own writes waiting on its link.
  void want_ended(std::string const& id);
  awaitable<void> read_ended_loop(std::uint64_t term);
  awaitable<void> read_ended(std::string id, std::uint64_t term);
  awaitable<void> advance_loop();
  void advance();
  void refresh_terms();
  /// What the owner keeps at the store, and orders.
  void keep_records(turn_clock& clock, time_point now);
  void note_turn(turn_clock const& clock);
  void refresh_board();
  void read_all_servers();
  void commit_results(bool all);
  /// Stores the progress of long runs now and then, for the case that this node and its replica are
  /// lost together.
  void write_checkpoint(time_point now);
  void forget_old(time_point now);
  awaitable<void> erase(std::string id);
  awaitable<rpc::JobReplyT> submit(rpc::JobCallT call);
  /// Writes a job's record; its samples begin to run when that takes long.
  void begin_submission(rpc::JobRecordT record);
  /// Lets the samples of a job run whose record is still being written.
  awaitable<void> run_ahead(std::uint64_t term, std::shared_ptr<rpc::JobRecordT> record);
  /// Drops jobs whose record was never stored and that nobody submits any more.
  void drop_unrecorded(time_point now);
  /// A job whose record is known to be stored.
  job* find_recorded(std::string const& id);
  void accept(std::shared_ptr<rpc::JobRecordT> const& record);
  awaitable<rpc::JobReplyT> list(rpc::JobCallT call);
  rpc::JobReplyT body(rpc::JobCallT const& call);
  awaitable<rpc::JobReplyT> end(rpc::JobCallT call);
  /// Tells what an ended job had waited for.
  void log_last_sample(job const& owner) const;
  /// Gives what this node holds of a former owner to another node that follows it.
  void offer_replica();
  awaitable<void> send_offer(endpoint where, rpc::ProgressReportT report);
  void adopt(rpc::ProgressReportT const& report);
  bool can_read() const;
  /// Whether what this node does not know does not exist: it holds the lease now.
  bool is_certain() const;
  /// Whether what is under way may be sent to a server once more.
  bool may_send_again() const;

  pool_owner_dependencies dependencies_;
  owner_state state_ = owner_state::standby;
  /// Grows with each gain and loss; what began in an older term is ignored.
  std::uint64_t term_ = 0;
  engines::engine_board board_;
  engines::weight_orders orders_;
  job_table table_;
  record_log log_;
  sample_runner runner_;
  progress_replica replica_;
  progress_sender progress_;
  /// Jobs whose record is being written.
  std::map<std::string, std::shared_ptr<write_outcome const>> writing_;
  std::map<std::string, bool> submitting_;
  /// Ended jobs whose data has not been read, with what their marks say.
  std::map<std::string, std::optional<rpc::JobEndT>> ended_unread_;
  /// Those of them whose data somebody has asked for, the first to be read first.
  std::deque<std::string> ended_wanted_;
  bool reading_ended_ = false;
  /// Results of jobs that change no more, sent to other nodes.
  read_budget reads_{k_read_bytes_per_second};
  async_condition work_;
  async_condition loaded_;
  async_condition listed_;
  async_condition written_;
  bool work_pending_ = false;
  /// Servers that the board has not taken over yet; all of them if `board_is_old_`.
  std::set<std::string> changed_servers_;
  milliseconds longest_turn_{0};
  bool board_is_old_ = true;
  time_point orders_planned_at_{};
  time_point checkpoint_at_{};
  run_permission permission_{boot_clock::now()};
  /// Newest epoch of another owner that a replica told of.
  std::uint64_t newer_epoch_ = 0;
};

}  // namespace frostline::jobs
