/// @file Replication of an owner's unfinished and unstored work to other nodes, so that the next
/// owner resumes it instead of starting over.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "jobs/job_table.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// A replica of the progress of samples in a pool that another node owns. No I/O; reads no clock.
class progress_replica {
 public:
  /// Applies a report of the pool's owner. @return false if the report is from an earlier epoch, or
  /// continues a text that this replica lacks; the owner must then send full texts.
  bool take(rpc::ProgressReportT report, time_point now);
  /// Returns true if the last report is younger than `k_freshness_limit`.
  bool is_fresh(time_point now) const;
  /// Returns the progress of a job's samples, with their full texts.
  std::vector<rpc::SampleProgressT> job_progress(std::string const& job) const;
  /// Returns the whole replica as one report, for the next owner.
  rpc::ProgressReportT full_report(std::string const& pool) const;
  std::uint64_t epoch() const { return epoch_; }
  void clear();

 private:
  struct held_progress {
    /// Epoch of the owner that reported the progress.
    std::uint64_t epoch = 0;
    rpc::SampleProgressT progress;
  };
  /// Returns the stored text that `entry` continues; nothing if there is none. A report continues a
  /// text only of the same owner and generation.
  std::optional<std::string> find_text_prefix(rpc::SampleProgressT const& entry,
                                              std::uint64_t epoch) const;

  std::map<std::string, std::map<std::uint32_t, held_progress>> jobs_;
  std::uint64_t epoch_ = 0;
  time_point last_report_at_{};
};

/// Sends the owner's progress to its replicas, one report at a time.
class progress_sender {
 public:
  /// Number of replicas while the store is available.
  static constexpr std::size_t k_replicas = 1;
  /// Number of replicas during an outage of the store, when finished results exist only on the
  /// owner and its replicas. With a single one, an owner that was suspended together with it lost
  /// 149 of 160 finished samples. Two at all times cost 0.002 to 0.003 of the score of days without
  /// such a fault.
  static constexpr std::size_t k_replicas_in_outage = 2;

  progress_sender(asio::io_context& context, http::client& transport, std::string pool,
                  std::string zone)
      : context_(context), transport_(transport), pool_(std::move(pool)), zone_(std::move(zone)) {}

  /// Sets the listener that is called when a replica reports a newer owner's epoch.
  void on_newer_owner(std::function<void(std::uint64_t)> listener) {
    on_newer_owner_ = std::move(listener);
  }
  /// Records that a peer is alive.
  /// @param uptime time since the start of the peer's process.
  /// @param processor_share share of a core that the peer may use.
  void note_peer(endpoint const& where, std::string const& zone, milliseconds uptime,
                 double processor_share, time_point now);
  /// Sends the changes if a report is due and none is in flight.
  /// @param replica_count wanted number of replicas.
  void advance(job_table& table, std::uint64_t epoch, std::size_t replica_count, time_point now);
  /// Sends the remaining changes and waits for the replies.
  awaitable<void> finish(job_table& table, std::uint64_t epoch);
  /// Starts a new term of ownership; the next report holds full texts.
  void begin_term();

 private:
  struct peer {
    std::string zone;
    double processor_share = 0;
    time_point last_seen_at{};
    time_point started_at{};
    /// Not chosen as a replica before this time.
    time_point backoff_until = time_point::min();
  };

  using shared_report = std::shared_ptr<rpc::ProgressReportT const>;

  /// Chooses the replicas. Prefers nodes with the largest processor share, since they are preferred
  /// as the next owner; then processes that started much later, since a rolling restart reaches
  /// them last; then current replicas; then nodes in the same zone.
  void choose_replicas(std::size_t replica_count, time_point now);
  /// Returns the best peer outside `excluded` that is not in backoff; nothing if there is none.
  std::optional<endpoint> choose_best_peer(std::set<endpoint> const& excluded,
                                           time_point now) const;
  rpc::ProgressReportT make_report(job_table& table, std::uint64_t epoch);
  /// Sends one report to all replicas.
  void send_to_all(rpc::ProgressReportT report);
  awaitable<void> send(endpoint where, shared_report report);
  void log_replicas() const;

  asio::io_context& context_;
  http::client& transport_;
  std::string pool_;
  std::string zone_;
  std::map<endpoint, peer> peers_;
  /// Returns true if `left` is a better replica than `right`.
  bool is_better(endpoint const& left, endpoint const& right) const;

  std::set<endpoint> replicas_;
  /// Number of replicas that have not answered the in-flight report.
  std::size_t pending_replies_ = 0;
  /// True if the next report must hold full texts.
  bool send_full_report_ = true;
  time_point last_sent_at_{};
  std::function<void(std::uint64_t)> on_newer_owner_;
};

}  // namespace frostline::jobs
