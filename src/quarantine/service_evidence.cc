/// @file The part of the service that stores evidence in the record store, so that it survives
/// nodes.

#include <algorithm>

#include "base/log.h"
#include "quarantine/service.h"
#include "rpc/client.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Number of servers that a request must have crashed before its evidence is stored.
constexpr std::size_t k_stored_crashes = 2;
/// Limit of requests in the record, to bound its size. Those with the most servers are stored
/// first.
constexpr std::size_t k_max_stored_requests = 64;
/// How long a run that no caller waits for is postponed while its evidence is stored. Longer than a
/// write takes; runs continue while the store is unavailable.
constexpr milliseconds k_evidence_write_wait{400};
/// How long such a run is postponed after the crash threshold was reached. Longer than a record
/// takes to come into effect; if the record was removed, runs continue.
constexpr milliseconds k_record_wait{2'000};
/// How long runs wait for the evidence found at startup to be resolved, which requires collectors.
constexpr milliseconds k_resolution_timeout{3'000};
/// Limit of requests quarantined because of evidence found at startup. Harmless ones among them are
/// cleared by their first trial.
constexpr std::size_t k_max_orphans_quarantined = 16;
/// Records removed in one transaction; with one comparison each, they stay within the store's limit
/// of 32 entries.
constexpr std::size_t k_max_removals = 16;
constexpr milliseconds k_liveness_timeout{250};
constexpr milliseconds k_removal_timeout{400};

}  // namespace

std::vector<stored_evidence> service::select_evidence() const {
  std::vector<stored_evidence> selected;
  for (fingerprint const& request :
       collected_.most_suspected(min_stored_crashes(), k_max_stored_requests)) {
    // The quarantine record already survives the loss of all nodes.
    if (list_.is_proven(request)) continue;
    selected.push_back({request, collected_.find(request)->servers});
  }
  return selected;
}

std::size_t service::min_stored_crashes() const {
  // Without collectors, as after a full restart, evidence of different nodes is combined only in
  // the store, so even a single crash is stored.
  return dependencies_.find_collectors().empty() ? 1 : k_stored_crashes;
}

void service::store_evidence(crash_history const& known) {
  bool const is_responsible = is_collector() || dependencies_.find_collectors().empty();
  if (is_responsible && known.servers.size() >= min_stored_crashes()) evidence_writer_.update();
}

bool service::is_latest_run_open(fingerprint const& request, time_point now) const {
  if (!horizon_.may_lack_evidence(now) || recent_answers_.has(request, now)) return false;
  if (unattended_runs_.contains(request) || !crash_watch_.is_examined(request)) return true;
  crash_history const* const seen = seen_here_.find(request);
  bool const writing = seen != nullptr && provisional_writes_.contains(request);
  return writing && now < seen->last_crash_at + k_provisional_write_wait;
}

bool service::should_wait(fingerprint const& request, time_point now) {
  if (unresolved_.contains(request) && now < unresolved_until_) return true;
  if (is_latest_run_open(request, now)) return true;
  // Until the record is in effect, only an answer to another caller of the request could clear it.
  bool const is_recorded = list_.is_proven(request);
  if (is_recorded) return list_.check(request, now) == verdict::allowed;
  crash_history const* const seen = seen_here_.find(request);
  if (seen == nullptr || seen->servers.size() < k_stored_crashes) return false;
  if (is_explained_by_others(request)) return false;
  if (seen->threshold_reached_at) return now < seen->last_crash_at + k_record_wait;
  if (evidence_writer_.has_stored(request, seen->servers.size())) return false;
  evidence_writer_.update();
  return now < seen->last_crash_at + k_evidence_write_wait;
}

void service::ingest_evidence(kv::key_value const& record, discovery discovered) {
  auto const found = evidence_record::decode(record.value);
  if (!found) {
    log_line(log_level::error, k_part, "Evidence record is malformed and is ignored.",
             {{"key", record.key}, {"revision", record.mod_revision}});
    return;
  }
  kv::revision& ingested = ingested_revisions_[record.key];
  if (record.mod_revision <= ingested) return;
  ingested = record.mod_revision;
  bool const own = found->incarnation == incarnation_;
  bool const old = found->written_at_ms + k_evidence_retention.count() < wall_clock_ms();
  log_line(log_level::info, k_part, "Evidence received.",
           {{"key", record.key},
            {"requests", found->requests.size()},
            {"own", own ? "yes" : "no"},
            {"old", old ? "yes" : "no"},
            {"at_start", discovered == discovery::at_start ? "yes" : "no"}});
  if (own || old) return;
  time_point const now = boot_clock::now();
  if (discovered == discovery::at_start) {
    unresolved_until_ = now + k_resolution_timeout;
    for (stored_evidence const& evidence : found->requests) unresolved_.insert(evidence.request);
    previous_records_.push_back({record.key, record.mod_revision, *found});
  }
  for (stored_evidence const& evidence : found->requests) {
    // The writer already stores this evidence, so it is not stored again here.
    for (std::string const& server : evidence.servers) {
      collected_.note({evidence.request, server, now, now});
    }
    start_write(evidence.request);
  }
}

void service::resolve_previous_evidence_if_due(time_point now) {
  if (now >= unresolved_until_) unresolved_.clear();
  if (previous_records_.empty() || resolving_ || own_rank() != 0) return;
  bool const is_first = !dependencies_.find_collectors().empty();
  if (!is_first) return;
  resolving_ = true;
  spawn(dependencies_.context, resolve_previous_evidence());
}

awaitable<bool> service::is_writer_alive(evidence_record const& record) {
  if (record.writer == dependencies_.self) co_return record.incarnation == incarnation_;
  auto const reply = co_await rpc::call<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
      dependencies_.transport, record.writer, "QuarantineService", "Report",
      rpc::CrashReportCallT(), k_liveness_timeout);
  co_return reply&& reply.value().incarnation == record.incarnation;
}

awaitable<void> service::resolve_previous_evidence() {
  std::set<fingerprint> held_by_live_writers;
  std::vector<stored_evidence> orphaned;
  for (previous_record const& record : std::vector<previous_record>(previous_records_)) {
    bool const writer_alive = co_await is_writer_alive(record.evidence);
    for (stored_evidence const& evidence : record.evidence.requests) {
      if (writer_alive) held_by_live_writers.insert(evidence.request);
      if (!writer_alive) orphaned.push_back(evidence);
    }
  }
  std::size_t quarantined = 0;
  for (stored_evidence const& evidence : orphaned) {
    bool const settled =
        held_by_live_writers.contains(evidence.request) || list_.is_proven(evidence.request) ||
        collected_.find(evidence.request) == nullptr || is_explained_by_others(evidence.request);
    if (settled || quarantined == k_max_orphans_quarantined) continue;
    ++quarantined;
    log_line(log_level::warning, k_part,
             "Quarantining a request on evidence from nodes that are gone.",
             {{"fingerprint", evidence.request.to_string()}, {"servers", evidence.servers.size()}});
    co_await try_to_write(evidence.request, record_kind::proven);
  }
  unresolved_.clear();
  evidence_writer_.update();
  co_await remove_previous_records();
  previous_records_.clear();
  resolving_ = false;
}

awaitable<void> service::remove_previous_records() {
  kv::transaction removal;
  for (previous_record const& record : previous_records_) {
    bool const own = record.key == evidence_record::key_of(dependencies_.node);
    if (own || removal.on_success.size() == k_max_removals) continue;
    if (co_await is_writer_alive(record.evidence)) continue;
    removal.compares.push_back({record.key, record.revision});
    kv::operation remove;
    remove.kind = kv::operation_kind::remove;
    remove.key = record.key;
    removal.on_success.push_back(std::move(remove));
  }
  if (removal.on_success.empty()) co_return;
  std::size_t const count = removal.on_success.size();
  auto const outcome = co_await dependencies_.store.apply(std::move(removal), k_removal_timeout);
  // Records that could not be removed are found again at the next start.
  bool const removed = outcome && outcome.value().succeeded;
  log_line(log_level::info, k_part, "Evidence of nodes that are gone is removed.",
           {{"records", count}, {"done", removed ? "yes" : "no"}});
}

}  // namespace frostline::quarantine
