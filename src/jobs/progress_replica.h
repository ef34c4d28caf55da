/// @file Copies of an owner's unfinished and unstored work on other nodes, so that whoever follows
/// the owner goes on instead of beginning anew.
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

/// What a node holds of another node's pool. Pure.
class progress_replica {
 public:
  /// @return whether the report could be taken; if not, it must come whole.
  bool take(rpc::ProgressReportT report, time_point now);
  /// Whether the owner has reported lately.
  bool is_fresh(time_point now) const;
  /// Progress of a job's samples, with their whole texts.
  std::vector<rpc::SampleProgressT> of_job(std::string const& job) const;
  /// All that is held, for the owner that follows.
  rpc::ProgressReportT whole(std::string const& pool) const;
  std::uint64_t epoch() const { return epoch_; }
  void clear();

 private:
  struct held_progress {
    /// Of the owner that reported it.
    std::uint64_t epoch = 0;
    rpc::SampleProgressT progress;
  };
  /// The text that `entry` goes on from; nothing if it is not held. Only a report of the same owner
  /// and the same generation goes on from a text.
  std::optional<std::string> text_before(rpc::SampleProgressT const& entry,
                                         std::uint64_t epoch) const;

  std::map<std::string, std::map<std::uint32_t, held_progress>> jobs_;
  std::uint64_t epoch_ = 0;
  time_point heard_at_{};
};

/// Sends the owner's progress to a few other nodes, one report at a time.
class progress_sender {
 public:
  /// Nodes that hold a copy while the store takes what is done: then little is lost with both.
  static constexpr std::size_t k_copies = 1;
  /// While it does not: an owner that froze in an outage together with the only copy took 149
  /// samples of 160 along that were done. Two copies at all times cost 0.002 to 0.003 of the worth
  /// of days on which nothing of the kind happens (six plays a day of one deployment; within the
  /// noise of two others).
  static constexpr std::size_t k_copies_in_outage = 2;

  progress_sender(asio::io_context& context, http::client& transport, std::string pool,
                  std::string zone)
      : context_(context), transport_(transport), pool_(std::move(pool)), zone_(std::move(zone)) {}

  /// `listener` runs with the epoch of another owner when the replica knows one that is newer.
  void on_newer_owner(std::function<void(std::uint64_t)> listener) {
    on_newer_owner_ = std::move(listener);
  }
  /// A node of whose life this one has just heard.
  /// @param uptime of its process.
  /// @param processor_share of a core that it may use.
  void note_peer(endpoint const& where, std::string const& zone, milliseconds uptime,
                 double processor_share, time_point now);
  /// Sends what has changed if none is under way and it is time.
  /// @param copies nodes that are to hold a copy now.
  void advance(job_table& table, std::uint64_t epoch, std::size_t copies, time_point now);
  /// Sends what is left and waits for the answer.
  awaitable<void> finish(job_table& table, std::uint64_t epoch);
  /// A new term of ownership: the next report is whole.
  void begin_term();

 private:
  struct peer {
    std::string zone;
    double processor_share = 0;
    time_point heard_at{};
    time_point started_at{};
    /// Not chosen before.
    time_point avoided_until = time_point::min();
  };

  using shared_report = std::shared_ptr<rpc::ProgressReportT const>;

  /// Chooses the nodes to send to. The strongest come first, since they will be asked to follow. Of
  /// these, a process that is much younger than the others comes first: where nodes are restarted
  /// in turn, it is the last to go. Then the present ones, those of the own zone, any.
  void choose_replicas(std::size_t copies, time_point now);
  /// The best of those that are not taken.
  std::optional<endpoint> choose_one(std::set<endpoint> const& taken, time_point now) const;
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
  /// Whether `left` follows this node better than `right`.
  bool is_better(endpoint const& left, endpoint const& right) const;

  std::set<endpoint> replicas_;
  /// Replicas that have not answered the report that is under way.
  std::size_t unanswered_ = 0;
  /// The next report must be whole.
  bool whole_ = true;
  time_point sent_at_{};
  std::function<void(std::uint64_t)> on_newer_owner_;
};

}  // namespace frostline::jobs
