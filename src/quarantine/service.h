/// @file Keeps requests that end the servers that run them from reaching more servers.
///
/// Each node notes under which of its requests servers ended, and tells the collectors, the relays
/// of some zones. Once three servers have ended under a request and none has answered it, a
/// collector writes a record to the record store, which the relays spread like any other. A node
/// that knows the record refuses the request, except for a trial now and then; a server's answer to
/// it, wherever it is seen, takes the record back.
///
/// A node under whose calls two servers have ended in turn records a suspicion before the third
/// run, so that what is known outlasts the end of all nodes with that run. It withdraws it when the
/// third run has proved nothing.
///
/// Of requests under which two servers have ended, whoever saw or collected it, collectors keep
/// evidence in the store. Nodes that find it at their start, with nobody left who remembers it, put
/// them under quarantine: a third server may have ended with those who knew.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "kv/follower.h"
#include "kv/record_store.h"
#include "quarantine/crash_watch.h"
#include "quarantine/evidence_keeper.h"
#include "quarantine/evidence_record.h"
#include "quarantine/quarantine_list.h"
#include "quarantine/recent_answers.h"
#include "quarantine/report_outbox.h"
#include "quarantine/suspect_table.h"
#include "rpc/dispatcher.h"
#include "schema/frostline_generated.h"

namespace frostline::quarantine {

/// References outlive the service.
struct service_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  http::client& transport;
  std::string node;
  /// Where other nodes reach this one.
  endpoint self;
  /// Nodes that bring evidence together, in the order in which they act. Few, and the same at all
  /// nodes.
  std::function<std::vector<endpoint>()> find_collectors;
  /// Whether changes of the store's records come to this node without delay.
  std::function<bool()> are_records_current;
  server_knowledge servers = {};
};

/// What the service counts, since the process began.
struct quarantine_counters {
  /// Requests of this node under which a server ended.
  std::uint64_t crashes = 0;
  std::uint64_t refused = 0;
  std::uint64_t trials = 0;
  /// Records that this node wrote, and took back because the request was answered.
  std::uint64_t written = 0;
  std::uint64_t taken_back = 0;
};

class service {
 public:
  explicit service(service_dependencies dependencies);

  void start() { spawn(dependencies_.context, report_loop()); }
  /// To be told of the store's records.
  kv::prefix_watcher_callbacks listener();
  /// Registers what other nodes call.
  void add_methods(rpc::dispatcher& methods);
  /// Forgets what was seen long ago.
  void clean(time_point now);

  /// Whether any request has to be looked at; mostly none, which saves their fingerprints.
  bool is_watching() const { return !seen_here_.empty() || !list_.empty() || !former_.empty(); }
  /// Whether a request may be sent to a server now. With `trial`, only if `claim_trial` succeeds.
  verdict check(fingerprint const& request, time_point now) const;
  /// Whether work that no caller waits for, as of a sample, should leave its next run for a moment:
  /// what is known of it is being stored, or three servers have ended under it here and the record
  /// is to come (one sample ended six engines where three would have done), or it ended servers
  /// under nodes that are gone and is being judged.
  bool should_wait(fingerprint const& request, time_point now);
  /// When a request that is refused now may be tried again; nothing if that is not known.
  std::optional<milliseconds> time_to_next_try(fingerprint const& request, time_point now) const;
  /// Asks for the right to send a request once, among all nodes.
  awaitable<bool> claim_trial(fingerprint request);
  /// A request was refused for its verdict.
  void note_refused(fingerprint const& request);
  /// How many servers ended under a request, as this node has seen.
  std::size_t crashes_seen(fingerprint const& request) const;

  /// Whether a request has to be recorded before it runs again here: two servers have ended under
  /// it, one after the other, and the third run would be known to this node's memory alone. If all
  /// nodes ended with it, the request would end three servers more, and what comes until the next
  /// record is in force (9 in a soak).
  bool must_be_recorded(fingerprint const& request) const;
  /// Waits for what is still looked at, and records the suspicion if it has to be; tried once, and
  /// withdrawn later unless it was proved.
  awaitable<void> record_before_next_run(fingerprint request);
  /// A request's connection to a server ended without a whole answer.
  void note_broken(directory::server const& server, fingerprint const& request,
                   time_point sent_at) {
    crash_watch_.note_broken(server, request, sent_at);
  }
  /// This side gave up a request's run while the server may still be at work on it.
  void note_given_up(directory::server const& server, fingerprint const& request,
                     time_point sent_at) {
    crash_watch_.note_given_up(server, request, sent_at);
  }
  void note_servers_changed() { crash_watch_.note_directory_change(); }
  /// A server answered the request.
  void note_answer(fingerprint const& request);

  quarantine_counters const& counters() const { return counters_; }
  std::size_t records() const { return list_.size(); }

 private:
  void note_crashes(std::vector<crash> const& crashes);
  /// Evidence of this node or another one.
  void collect(crash const& one);
  bool is_explained_by_others(fingerprint const& request) const;
  /// Whether enough servers have ended under a request, and none of the others explains them.
  bool is_proven(fingerprint const& request) const;
  /// Whether a collector knows what this node knows, and this node is none.
  bool leaves_it_to_collectors() const;
  /// Whether this node has seen enough itself to refuse the request without a record.
  bool refuses_alone(fingerprint const& request, time_point now) const;
  /// Starts to write the record if the evidence is enough.
  void start_to_write(fingerprint const& request);
  /// Writes the record, after the collectors before this one have had time to.
  awaitable<void> write_record(fingerprint request);
  awaitable<void> try_to_write(fingerprint request, bool is_suspicion);
  awaitable<void> take_back(fingerprint request);
  awaitable<void> withdraw_suspicion(fingerprint request);
  /// Removes the record, however often that takes, as long as the condition holds.
  /// @return whether it was removed here.
  awaitable<bool> remove_while(fingerprint request,
                               std::function<bool(quarantine_entry const&)> condition);
  /// Applies a change of one record. @return whether it took effect for certain.
  awaitable<bool> apply(quarantine_entry entry, kv::operation change);
  std::size_t own_rank() const;

  awaitable<void> report_loop();
  awaitable<void> report_to(endpoint collector);
  rpc::CrashReportReplyT take_report(rpc::CrashReportCallT const& call);

  void take(kv::key_value const& record, first_sight seen);
  void take_evidence(kv::key_value const& record, first_sight seen);
  std::vector<kept_evidence> select_evidence() const;
  std::size_t least_kept_crashes() const;
  /// Has evidence stored, at collectors, that is enough to be.
  void keep_evidence(suspicion const& known);
  bool is_collector() const { return own_rank() < dependencies_.find_collectors().size(); }
  /// Has the first collector judge what was found at the start.
  void judge_in_time(time_point now);
  /// Puts requests under quarantine of which nobody remembers what the store tells.
  awaitable<void> judge_former_evidence();
  /// Whether the process that wrote the record is there.
  awaitable<bool> is_remembered(evidence_record const& record);
  /// Removes records whose writers are gone; what they hold is kept by this node.
  awaitable<void> remove_former_records();
  void log_record(quarantine_entry const& entry) const;
  void start_to_take_back(fingerprint const& request);
  void forget(fingerprint const& request, std::string_view cause);

  service_dependencies dependencies_;
  std::string incarnation_;
  crash_watch crash_watch_;
  /// What this node has seen itself.
  suspect_table seen_here_;
  /// What all nodes have told this one, its own evidence included.
  suspect_table collected_;
  quarantine_list list_;
  /// While there is something to look at.
  recent_answers answered_here_;
  report_outbox outbox_;
  evidence_keeper keeper_;
  /// Revisions of the evidence of others that was taken over.
  std::map<std::string, kv::revision> evidence_taken_;
  struct former_record {
    std::string key;
    kv::revision revision = 0;
    evidence_record what;
  };
  /// Evidence that the store held when this node started, until it is judged.
  std::vector<former_record> found_at_start_;
  /// Requests in it, and until when they wait to be judged.
  std::set<fingerprint> former_;
  time_point former_until_ = time_point::min();
  bool judging_ = false;
  async_condition evidence_;
  /// Requests whose records are being written or taken back, or whose trial is being claimed.
  std::set<fingerprint> writing_;
  /// Requests of which this node has tried to record a suspicion.
  std::set<fingerprint> recorded_early_;
  std::size_t suspicions_being_written_ = 0;
  bool has_had_records_ = false;
  std::set<fingerprint> taking_back_;
  std::set<fingerprint> claiming_;
  std::set<endpoint> reporting_to_;
  quarantine_counters counters_;
};

}  // namespace frostline::quarantine
