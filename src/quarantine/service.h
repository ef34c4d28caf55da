/// @file Detects poison requests, which crash the servers that run them, and keeps them from
/// reaching more servers. Covers calls of clients and of scorers. Samples have no part in it: they
/// are taken not to crash engines, so they are never held, and crashes under them prove nothing
/// about other requests.
///
/// Each node records which of its requests were running on a server when the server crashed, and
/// reports them to the collectors, which are the relays of some zones. Once a request that was
/// never answered has crashed three servers, a collector writes a record to the record store, which
/// the relays distribute. Nodes that have received the record refuse the request, except for a few
/// trials. If a server answers the request on any node, that node removes the record.
///
/// A node whose runs of a request have crashed two servers in sequence records a suspicion before
/// the third run, so that the evidence survives even if that run takes down all nodes. It withdraws
/// the suspicion if the third run does not confirm it.
///
/// Collectors also store evidence of requests that have crashed two servers. If the first collector
/// found evidence at its start whose writer no longer runs, it quarantines the request, because
/// nodes that saw a third crash may be gone.
///
/// Evidence that was not stored is lost if all nodes end together. A node that starts and finds no
/// running node with older evidence therefore writes a provisional record after a single crash,
/// for as long as the lost evidence would have counted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "kv/prefix_watcher.h"
#include "kv/record_store.h"
#include "quarantine/crash_watch.h"
#include "quarantine/evidence_horizon.h"
#include "quarantine/evidence_record.h"
#include "quarantine/evidence_writer.h"
#include "quarantine/quarantine_list.h"
#include "quarantine/recent_answers.h"
#include "quarantine/report_outbox.h"
#include "quarantine/suspect_table.h"
#include "rpc/dispatcher.h"
#include "schema/frostline_generated.h"

namespace frostline::quarantine {

/// References must outlive the service.
struct service_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  http::client& transport;
  std::string node;
  /// Address at which other nodes reach this one.
  endpoint self;
  /// The few nodes that collect evidence, in the order in which they act; the same on all nodes.
  std::function<std::vector<endpoint>()> find_collectors;
  /// Returns true if changes of the store's records reach this node without delay.
  std::function<bool()> are_records_current;
  crash_watch_dependencies servers = {};
};

/// Totals since the process began.
struct quarantine_counters {
  /// Requests of this node that were running on a server when the server crashed.
  std::uint64_t crashes = 0;
  std::uint64_t refused = 0;
  std::uint64_t trials = 0;
  /// Waits of requests for the outcome of a trial.
  std::uint64_t trial_waits = 0;
  /// Records written by this node, including suspicions.
  std::uint64_t records_written = 0;
  /// Records that this node removed, because the request was answered or because there were more
  /// than `quarantine_list::k_max_entries`.
  std::uint64_t revoked = 0;
};

class service {
 public:
  explicit service(service_dependencies dependencies);

  void start() { spawn(dependencies_.context, report_loop()); }
  /// Callbacks that receive the store's records.
  kv::prefix_watcher_callbacks listener();
  /// Registers the methods that other nodes call.
  void add_methods(rpc::dispatcher& methods);
  /// Drops expired evidence.
  void clean(time_point now);

  /// Returns false if no request is suspected, so that callers need not compute fingerprints. True
  /// while earlier evidence may be lost, so that answers are noted.
  bool has_suspects() const {
    return !seen_here_.empty() || !list_.empty() || !unresolved_.empty() || may_lack_evidence();
  }
  /// Returns true if evidence of earlier crashes may be lost, so that a single crash is recorded.
  bool may_lack_evidence() const { return horizon_.may_lack_evidence(boot_clock::now()); }
  /// Returns true if this node knows the records that were stored before it started. Until then it
  /// can't tell which requests have crashed servers.
  bool has_received_records() const { return received_snapshot_; }
  /// Returns whether a request may be sent to a server now; `trial` requires `claim_trial` first.
  verdict check(fingerprint const& request, time_point now) const;
  /// Returns true if a run that no caller waits for, that of a scorer's call, should be postponed
  /// for a moment: because evidence is being stored, because the request has reached the crash
  /// threshold and its record is not in effect yet, or because evidence from previous nodes is
  /// being resolved. While evidence may be lost, also because another such run is in progress.
  bool should_wait(fingerprint const& request, time_point now);
  /// Notes a run that no caller waits for, until the result is destroyed. The service must outlive
  /// the result.
  std::shared_ptr<void> begin_unattended_run(fingerprint const& request);
  /// Time until a refused request may be tried again; nullopt if it is unknown.
  std::optional<milliseconds> time_until_retry(fingerprint const& request, time_point now) const;
  /// Claims a trial, which only one node may run. @return true if this node may run it.
  awaitable<bool> claim_trial(fingerprint request);
  /// Returns true while the outcome of a trial of a provisional record is expected, here or at
  /// another node. It tells whether the request is harmless.
  bool is_trial_open(fingerprint const& request, time_point now) const;
  /// Waits until the request's record has changed, its claim has ended, or the outcome of its trial
  /// is overdue, but not beyond `limit`.
  awaitable<void> wait_for_trial(fingerprint request, time_point limit);
  /// Gives back a claimed trial that no server has run.
  awaitable<void> return_trial(fingerprint request);
  /// Returns true if a request that has crashed servers may be tried again by the call that saw the
  /// crash: its record is provisional.
  bool is_provisional(fingerprint const& request) const { return list_.is_provisional(request); }
  /// Counts and logs a request that was refused after `check`.
  void note_refused(fingerprint const& request);
  /// Number of servers that this node has seen crash while running the request.
  std::size_t crashes_seen(fingerprint const& request) const;

  /// Returns true if a suspicion must be recorded before the request runs here again: it has
  /// crashed two servers in sequence in runs of this node, and there is no record of it. If the
  /// next run took down all nodes, the evidence would be lost.
  bool must_be_recorded(fingerprint const& request) const;
  /// Waits for pending probes and for a provisional record that is being written. Then records a
  /// suspicion if it is still required. That write is tried once; the suspicion is withdrawn later
  /// unless it was confirmed.
  awaitable<void> record_before_next_run(fingerprint request);
  /// Notes that the connection of a request to a server broke before the response was complete.
  void note_broken(directory::server const& server, fingerprint const& request,
                   time_point sent_at) {
    crash_watch_.note_broken(server, request, sent_at);
  }
  /// Notes that this node abandoned a run of the request that the server may still continue.
  void note_abandoned_run(directory::server const& server, fingerprint const& request,
                          time_point sent_at) {
    crash_watch_.note_abandoned_run(server, request, sent_at);
  }
  void note_servers_changed() { crash_watch_.note_directory_change(); }
  /// Drops the evidence against a request that a server answered, and removes its record.
  void note_answer(fingerprint const& request);

  quarantine_counters const& counters() const { return counters_; }
  std::size_t records() const { return list_.size(); }

 private:
  enum class record_kind { proven, suspicion, provisional };

  /// How long the next run of a request waits for the provisional record of a crash. Longer than a
  /// query for the age of the evidence (0.25 s) and a write (0.4 s) take; runs continue while the
  /// store is unavailable.
  static constexpr milliseconds k_provisional_write_wait{650};

  void note_crashes(std::vector<crash> const& crashes);
  /// Adds evidence seen by this node or reported by another one.
  void collect(crash const& event);
  bool is_explained_by_others(fingerprint const& request) const;
  /// Returns true if the request has reached the crash threshold and no other request explains its
  /// crashes.
  bool is_proven(fingerprint const& request) const;
  /// Returns true if this node is not a collector and a collector has acknowledged all evidence of
  /// this node.
  bool defers_to_collectors() const;
  /// Returns true if this node's own evidence is enough to refuse the request without a record.
  bool refuses_locally(fingerprint const& request, time_point now) const;
  /// Starts to write a record if the evidence is sufficient.
  void start_write(fingerprint const& request);
  /// Writes the record, after a delay in which higher-ranked collectors can do so.
  awaitable<void> write_record(fingerprint request);
  awaitable<void> try_to_write(fingerprint request, record_kind kind);
  awaitable<void> revoke(fingerprint request);
  awaitable<void> withdraw_suspicion(fingerprint request);
  /// Removes the record of a request. Retries as long as the record exists and meets `condition`.
  /// @return true if this node removed it.
  awaitable<bool> remove_while(fingerprint request,
                               std::function<bool(quarantine_entry const&)> condition);
  /// Applies a conditional change to one record. @return true if it certainly took effect.
  awaitable<bool> apply(quarantine_entry entry, kv::operation change);
  std::size_t own_rank() const;

  awaitable<void> report_loop();
  awaitable<void> report_to(endpoint collector);
  rpc::CrashReportReplyT handle_report(rpc::CrashReportCallT const& call);

  void ingest(kv::key_value const& record, discovery discovered);
  void ingest_evidence(kv::key_value const& record, discovery discovered);
  std::vector<stored_evidence> select_evidence() const;
  std::size_t min_stored_crashes() const;
  /// Returns true if evidence may be lost and the outcome of the request's latest run is still
  /// open: it is in progress, or its crash is being examined or recorded.
  bool is_latest_run_open(fingerprint const& request, time_point now) const;
  /// Stores evidence if it is sufficient and this node is responsible for storing it.
  void store_evidence(crash_history const& known);
  bool is_collector() const { return own_rank() < dependencies_.find_collectors().size(); }
  /// Starts to resolve the evidence found at startup, if this node is the first collector.
  void resolve_previous_evidence_if_due(time_point now);
  /// Quarantines requests whose stored evidence was written by processes that no longer run.
  awaitable<void> resolve_previous_evidence();
  /// Returns true if the process that wrote the record answers a call in time.
  awaitable<bool> is_writer_alive(evidence_record const& record);
  /// Removes evidence records whose writers no longer run, up to a limit. This node has taken over
  /// their evidence.
  awaitable<void> remove_previous_records();
  void take_first_snapshot(kv::range_answer const& all);
  /// Stores the marker that the system has run, unless another node does.
  awaitable<void> write_run_marker();
  /// Asks running nodes how far back their evidence reaches, until it is complete or the attempts
  /// are used up.
  awaitable<void> query_evidence_age();
  /// Asks each of `evidence_peers` once.
  awaitable<void> query_evidence_age_once();
  /// Waits for the answers to a query in progress, which may show that no evidence is lost. Bounded
  /// by the timeout of one answer.
  awaitable<void> wait_for_evidence_age();
  /// Takes over how far back the evidence of a collector reaches.
  void take_evidence_age(rpc::CrashReportReplyT const& reply);
  /// Nodes that may have older evidence than this one.
  std::vector<endpoint> evidence_peers() const;
  /// Starts to write a provisional record of a request that has just crashed a server, or to add
  /// the crash to its record.
  void start_provisional_write(fingerprint const& request);
  /// Returns true if a known crash of the request is missing from its provisional record, or if
  /// there is no record and evidence may be lost.
  bool needs_provisional_record(fingerprint const& request) const;
  awaitable<void> write_provisional_record(fingerprint request);
  awaitable<void> wait_for_provisional_record(fingerprint request);
  void note_crashed_server(std::string const& server, time_point now);
  /// Returns true if so many servers have crashed within a short time that one request is not the
  /// likely cause.
  bool is_wide_crash(time_point now) const;
  void log_record(quarantine_entry const& entry) const;
  void start_revocation(fingerprint const& request);
  void forget(fingerprint const& request, std::string_view cause);

  service_dependencies dependencies_;
  std::string incarnation_;
  crash_watch crash_watch_;
  /// Crashes seen by this node.
  suspect_table seen_here_;
  /// Crashes reported by all nodes, including this one.
  suspect_table collected_;
  quarantine_list list_;
  /// Notified when a record has changed or the claim of a trial has ended.
  async_condition list_changed_;
  recent_answers recent_answers_;
  report_outbox outbox_;
  evidence_writer evidence_writer_;
  /// Last revision taken over of each evidence record.
  std::map<std::string, kv::revision> ingested_revisions_;
  struct previous_record {
    std::string key;
    kv::revision revision = 0;
    evidence_record evidence;
  };
  /// Evidence found in the store at startup, until it is resolved.
  std::vector<previous_record> previous_records_;
  /// Requests in `previous_records_`, and until when their runs wait for it to be resolved.
  std::set<fingerprint> unresolved_;
  time_point unresolved_until_ = time_point::min();
  bool resolving_ = false;
  async_condition evidence_added_;
  /// Requests whose records are being written.
  std::set<fingerprint> writing_;
  /// Requests for which this node has tried to record a suspicion.
  std::set<fingerprint> recorded_suspicions_;
  std::size_t suspicion_writes_in_flight_ = 0;
  bool received_snapshot_ = false;
  time_point started_at_ = boot_clock::now();
  evidence_horizon horizon_;
  bool evidence_age_query_in_progress_ = false;
  async_condition evidence_age_query_ended_;
  /// The node that stored the run marker, which may still be running.
  std::optional<endpoint> run_marker_writer_;
  /// Requests with a run in progress that no caller waits for.
  std::multiset<fingerprint> unattended_runs_;
  /// Requests whose provisional records are being written.
  std::set<fingerprint> provisional_writes_;
  async_condition provisional_write_ended_;
  /// When each server that crashed recently was noted.
  std::map<std::string, time_point> crashed_servers_;
  std::set<fingerprint> revoking_;
  std::set<fingerprint> claiming_;
  /// Requests whose latest trial this node has claimed.
  std::set<fingerprint> own_trials_;
  std::set<endpoint> reporting_to_;
  quarantine_counters counters_;
};

}  // namespace frostline::quarantine
