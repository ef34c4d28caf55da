#include "quarantine/service.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/jitter.h"
#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Time for evidence of the same crashes to arrive from several nodes, which shows the request that
/// explains them all. Each collector waits this much longer than the previous one, which is enough
/// for a write to propagate.
constexpr milliseconds k_collector_stagger{150};
/// How long after the last crash a node refuses a request by its own evidence while it receives no
/// records. Afterwards the request is allowed again, until it crashes another server.
constexpr milliseconds k_local_refusal_time{5'000};
/// Trials that are due later than this are not announced to callers, who are told to stay away for
/// longer: most requests whose first trial failed do crash their servers.
constexpr milliseconds k_max_announced_delay{2'000};
constexpr milliseconds k_write_timeout{400};
/// Number of servers that must crash in sequence in runs of this node before a suspicion is
/// recorded.
constexpr std::uint32_t k_suspicion_threshold = 2;
/// How long a suspicion stands: longer than the third run takes to be confirmed by the collectors
/// (0.5 s), and shorter than quarantine_list::k_suspicion_effect_delay, with time for a retry of
/// the removal.
constexpr milliseconds k_suspicion_lifetime{800};
/// Limit of concurrent suspicion writes, to protect the store when many servers crash at once.
/// Beyond it, requests run without a suspicion.
constexpr std::size_t k_max_suspicion_writes = 16;
/// Nodes that answered a request remove its record at random times within this spread, well before
/// the record takes effect.
constexpr milliseconds k_revocation_spread{300};
constexpr milliseconds k_write_retry_delay{300};

}  // namespace

service::service(service_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      incarnation_(make_unique_token()),
      crash_watch_(dependencies_.context, dependencies_.servers,
                   [this](std::vector<crash> crashes) { note_crashes(crashes); }),
      list_changed_(dependencies_.context),
      evidence_writer_({dependencies_.context, dependencies_.store, dependencies_.node,
                        dependencies_.self, incarnation_, [this] { return select_evidence(); }}),
      evidence_added_(dependencies_.context),
      evidence_age_query_ended_(dependencies_.context),
      provisional_write_ended_(dependencies_.context) {}

verdict service::check(fingerprint const& request, time_point now) const {
  verdict const listed = list_.check(request, now);
  if (listed != verdict::allowed) return listed;
  return refuses_locally(request, now) ? verdict::refused : verdict::allowed;
}

bool service::refuses_locally(fingerprint const& request, time_point now) const {
  crash_history const* const seen = seen_here_.find(request);
  if (seen == nullptr || !seen->threshold_reached_at) return false;
  // Collectors have more evidence, and their record arrives soon. The evidence of one node may
  // point to a request that merely ran on the same servers as a poison request.
  if (dependencies_.are_records_current()) return false;
  // The request may still be answered once servers have restarted.
  bool const undisputed = now >= *seen->threshold_reached_at + quarantine_list::k_effect_delay;
  return undisputed && now < seen->last_crash_at + k_local_refusal_time;
}

std::optional<milliseconds> service::time_until_retry(fingerprint const& request,
                                                      time_point now) const {
  bool const listed = list_.check(request, now) != verdict::allowed;
  if (listed) {
    auto const delay = list_.time_until_trial(request, now);
    return delay && *delay <= k_max_announced_delay ? delay : std::nullopt;
  }
  return refuses_locally(request, now) ? std::optional(k_local_refusal_time) : std::nullopt;
}

std::size_t service::crashes_seen(fingerprint const& request) const {
  crash_history const* const seen = seen_here_.find(request);
  return seen == nullptr ? 0 : seen->servers.size();
}

void service::note_refused(fingerprint const& request) {
  ++counters_.refused;
  quarantine_entry const* const listed = list_.find(request);
  log_line(log_level::info, k_part, "Request refused.",
           {{"fingerprint", request.to_string()},
            {"known_for_ms", list_.known_for(request, boot_clock::now()).count()},
            {"revision", listed == nullptr ? 0 : listed->revision},
            {"trials", listed == nullptr ? 0 : listed->trials},
            {"crashes_seen_here", crashes_seen(request)}});
}

void service::note_crashes(std::vector<crash> const& crashes) {
  time_point const now = boot_clock::now();
  for (crash const& event : crashes) note_crashed_server(event.server, now);
  bool const incomplete = horizon_.may_lack_evidence(now);
  for (crash const& event : crashes) {
    ++counters_.crashes;
    crash_history const& seen = seen_here_.note(event);
    log_line(log_level::info, k_part, "Server ended under a request.",
             {{"fingerprint", event.request.to_string()},
              {"server", event.server},
              {"beside", crashes.size() - 1},
              {"crashes_seen_here", seen.servers.size()},
              {"in_turn", seen.sequential_crashes},
              {"evidence_age_ms", horizon_.age(now).count()}});
    outbox_.add(event);
    collect(event);
    if (incomplete || list_.is_provisional(event.request)) start_provisional_write(event.request);
  }
  evidence_added_.notify_all();
}

bool service::is_explained_by_others(fingerprint const& request) const {
  return collected_.is_explained_by_others(
      request, [this](fingerprint const& other) { return list_.is_proven(other); });
}

bool service::is_proven(fingerprint const& request) const {
  crash_history const* const known = collected_.find(request);
  if (known == nullptr || known->servers.size() < k_crash_threshold) return false;
  return !is_explained_by_others(request);
}

void service::collect(crash const& event) {
  store_evidence(collected_.note(event));
  start_write(event.request);
}

void service::start_write(fingerprint const& request) {
  bool const settled = list_.is_proven(request) || writing_.contains(request);
  if (settled || !is_proven(request)) return;
  writing_.insert(request);
  spawn(dependencies_.context, write_record(request));
}

bool service::must_be_recorded(fingerprint const& request) const {
  crash_history const* const seen = seen_here_.find(request);
  if (seen == nullptr || seen->sequential_crashes < k_suspicion_threshold) return false;
  bool const settled = list_.find(request) != nullptr || recorded_suspicions_.contains(request) ||
                       suspicion_writes_in_flight_ >= k_max_suspicion_writes;
  return !settled && collected_.find(request) != nullptr && !is_explained_by_others(request);
}

awaitable<void> service::record_before_next_run(fingerprint request) {
  co_await crash_watch_.wait_until_examined(request);
  co_await wait_for_provisional_record(request);
  if (!must_be_recorded(request)) co_return;
  recorded_suspicions_.insert(request);
  ++suspicion_writes_in_flight_;
  co_await try_to_write(request, record_kind::suspicion);
  --suspicion_writes_in_flight_;
  spawn(dependencies_.context, withdraw_suspicion(request));
}

awaitable<void> service::withdraw_suspicion(fingerprint request) {
  co_await wait_for(k_suspicion_lifetime);
  co_await remove_while(request, [](quarantine_entry const& entry) { return entry.is_suspicion; });
  recorded_suspicions_.erase(request);
}

std::size_t service::own_rank() const {
  auto const collectors = dependencies_.find_collectors();
  auto const position = std::find(collectors.begin(), collectors.end(), dependencies_.self);
  return static_cast<std::size_t>(position - collectors.begin());
}

bool service::defers_to_collectors() const {
  // One node's evidence does not show which request explains the crashes.
  auto const collectors = dependencies_.find_collectors();
  if (own_rank() < collectors.size()) return false;
  return std::any_of(collectors.begin(), collectors.end(),
                     [this](endpoint const& collector) { return !outbox_.has_pending(collector); });
}

awaitable<void> service::write_record(fingerprint request) {
  co_await wait_for(k_collector_stagger * static_cast<int>(own_rank() + 1));
  while (is_proven(request) && !list_.is_proven(request) && !defers_to_collectors()) {
    co_await try_to_write(request, record_kind::proven);
    if (!list_.is_proven(request)) co_await wait_for(with_jitter(k_write_retry_delay));
  }
  writing_.erase(request);
}

awaitable<void> service::try_to_write(fingerprint request, record_kind kind) {
  quarantine_entry entry;
  quarantine_entry const* const known = list_.find(request);
  if (known != nullptr) entry = *known;
  entry.request = request;
  entry.is_suspicion = kind == record_kind::suspicion;
  entry.is_provisional = kind == record_kind::provisional;
  entry.servers = collected_.find(request)->servers;
  kv::operation put;
  put.key = quarantine_list::key_of(request);
  put.value = quarantine_list::encode(entry, "");
  std::size_t const servers = entry.servers.size();
  bool const written = co_await apply(std::move(entry), std::move(put));
  if (!written) co_return;
  ++counters_.records_written;
  log_line(log_level::warning, k_part,
           kind == record_kind::suspicion ? "Suspicion of a request recorded."
                                          : "Request put under quarantine.",
           {{"fingerprint", request.to_string()},
            {"servers", servers},
            {"provisional", kind == record_kind::provisional ? "yes" : "no"}});
  quarantine_entry const* const entry_to_evict = list_.entry_to_evict();
  if (entry_to_evict != nullptr) start_revocation(entry_to_evict->request);
}

awaitable<bool> service::apply(quarantine_entry entry, kv::operation change) {
  kv::transaction transaction;
  transaction.compares.push_back({change.key, entry.revision});
  bool const removes = change.kind == kv::operation_kind::remove;
  transaction.on_success.push_back(std::move(change));
  auto const outcome = co_await dependencies_.store.apply(std::move(transaction), k_write_timeout);
  if (!outcome) {
    log_line(log_level::info, k_part, "Record change failed or its outcome is unknown.",
             {{"fingerprint", entry.request.to_string()}, {"error", outcome.error().message()}});
    co_return false;
  }
  if (!outcome.value().succeeded) {
    auto const& read = outcome.value().read;
    for (kv::key_value const& record : read) ingest(record, discovery::later);
    // The feed reports no removal of a record that it has never delivered.
    if (read.empty()) forget(entry.request, "the store has no such record");
    co_return false;
  }
  if (removes) {
    forget(entry.request, "removed by this node");
    co_return true;
  }
  entry.revision = outcome.value().store_revision;
  list_.put(std::move(entry), boot_clock::now());
  list_changed_.notify_all();
  co_return true;
}

void service::note_answer(fingerprint const& request) {
  seen_here_.clear(request);
  collected_.clear(request);
  outbox_.clear(request);
  recent_answers_.note(request, boot_clock::now());
  if (list_.find(request) != nullptr) start_revocation(request);
}

void service::start_revocation(fingerprint const& request) {
  if (!revoking_.insert(request).second) return;
  spawn(dependencies_.context, revoke(request));
}

awaitable<void> service::revoke(fingerprint request) {
  // Most nodes that answered the request learn of the removal by another node in this time.
  // No other node ran the trial.
  bool const was_trial = own_trials_.erase(request) > 0;
  if (!was_trial) {
    co_await wait_for(with_jitter(2 * k_revocation_spread) - k_revocation_spread);
  }
  bool const removed = co_await remove_while(request, [](quarantine_entry const&) { return true; });
  if (removed) ++counters_.revoked;
  revoking_.erase(request);
}

awaitable<bool> service::remove_while(fingerprint request,
                                      std::function<bool(quarantine_entry const&)> condition) {
  quarantine_entry const* known = list_.find(request);
  while (known != nullptr && condition(*known)) {
    kv::operation remove;
    remove.kind = kv::operation_kind::remove;
    remove.key = quarantine_list::key_of(request);
    if (co_await apply(*known, std::move(remove))) co_return true;
    co_await wait_for(with_jitter(k_write_retry_delay));
    known = list_.find(request);
  }
  co_return false;
}

void service::log_record(quarantine_entry const& entry) const {
  log_line(log_level::info, k_part,
           entry.is_suspicion ? "Request is suspected." : "Request is under quarantine.",
           {{"fingerprint", entry.request.to_string()},
            {"servers", entry.servers.size()},
            {"trials", entry.trials},
            {"provisional", entry.is_provisional ? "yes" : "no"},
            {"revision", entry.revision}});
}

void service::ingest(kv::key_value const& record, discovery discovered) {
  if (record.key.starts_with(evidence_record::records_prefix())) {
    ingest_evidence(record, discovered);
    return;
  }
  if (record.key == run_marker_key()) {
    auto const marker = evidence_record::decode(record.value);
    if (marker) run_marker_writer_ = marker->writer;
    return;
  }
  auto entry = quarantine_list::decode(record);
  if (!entry) {
    log_line(log_level::error, k_part, "Quarantine record is malformed and is ignored.",
             {{"key", record.key}, {"revision", record.mod_revision}});
    return;
  }
  time_point const now = boot_clock::now();
  if (!list_.put(*entry, now, discovered)) return;
  list_changed_.notify_all();
  log_record(*entry);
  if (recent_answers_.has(entry->request, now)) {
    start_revocation(entry->request);
    return;
  }
  if (list_.is_proven(entry->request)) return;
  // The node that wrote the record may be gone, so its evidence counts here too.
  for (std::string const& server : entry->servers) collect({entry->request, server, now, now});
}

void service::forget(fingerprint const& request, std::string_view cause) {
  quarantine_entry const* const known = list_.find(request);
  // A withdrawn suspicion was not disproved, so the evidence is kept.
  bool const withdrawn = known != nullptr && known->is_suspicion;
  if (!withdrawn) {
    seen_here_.clear(request);
    collected_.clear(request);
    outbox_.clear(request);
  }
  own_trials_.erase(request);
  if (!list_.remove(request)) return;
  list_changed_.notify_all();
  log_line(log_level::info, k_part, "Quarantine ended.",
           {{"fingerprint", request.to_string()}, {"cause", cause}});
}

kv::prefix_watcher_callbacks service::listener() {
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) {
    discovery const discovered = received_snapshot_ ? discovery::later : discovery::at_start;
    if (!received_snapshot_) take_first_snapshot(all);
    received_snapshot_ = true;
    for (kv::key_value const& record : all.entries) ingest(record, discovered);
  };
  callbacks.event = [this](kv::watch_event const& event) {
    if (!event.deleted) {
      ingest(event.entry, discovery::later);
      return;
    }
    std::string_view const key = event.entry.key;
    if (!key.starts_with(quarantine_list::records_prefix())) return;
    auto const request = fingerprint::parse(key.substr(quarantine_list::records_prefix().size()));
    if (request) forget(*request, "the record is gone");
  };
  return callbacks;
}

void service::clean(time_point now) {
  crash_watch_.clean(now);
  seen_here_.expire(now - k_evidence_retention);
  collected_.expire(now - k_evidence_retention);
  outbox_.expire(now - k_evidence_retention);
  evidence_writer_.update_existing();
  resolve_previous_evidence_if_due(now);
  std::erase_if(recorded_suspicions_,
                [this](fingerprint const& request) { return seen_here_.find(request) == nullptr; });
}

}  // namespace frostline::quarantine
