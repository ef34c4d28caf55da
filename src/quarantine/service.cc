#include "quarantine/service.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/jitter.h"
#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Evidence of the same crashes comes from several nodes within that time, and shows who of those
/// that ran there explains them all. Each collector leaves as much again to the one before it: a
/// write and its spreading take less.
constexpr milliseconds k_turn{150};
/// So long after the last crash a node refuses by its own evidence, while records do not come here:
/// it lets the request through once in that time.
constexpr milliseconds k_local_refusal{5'000};
constexpr milliseconds k_write_timeout{400};
/// Servers that end one after the other under runs of this node before the request is recorded.
constexpr std::uint32_t k_recorded_crashes = 2;
/// A suspicion stands for that long after it was written. A server that ends under the third run
/// mostly does so at once, and what collectors make of that is in the store 0.5 s later. It is gone
/// before it has effect at a node that found it at its start, with two tries to remove it.
constexpr milliseconds k_suspicion_hold{800};
/// Suspicions that are written at the same time. A wide crash at 600 servers must not bring more
/// writes than the store takes; the others run without.
constexpr std::size_t k_most_early_writes = 16;
/// Nodes take a record back at different times within that, well within the time to object.
constexpr milliseconds k_take_back_spread{300};
constexpr milliseconds k_write_retry{300};
/// Evidence without an answer to the request is kept for that long, on the node that saw it and on
/// those that collect: a client that comes again does so within minutes, and crashes that lie
/// further apart say little about a request that other nodes have seen answered between them.
constexpr milliseconds k_memory{600'000};

}  // namespace

service::service(service_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      incarnation_(make_unique_token()),
      crash_watch_(dependencies_.context, dependencies_.servers,
                   [this](std::vector<crash> crashes) { note_crashes(crashes); }),
      keeper_({dependencies_.context, dependencies_.store, dependencies_.node, dependencies_.self,
               incarnation_, [this] { return select_evidence(); }}),
      evidence_(dependencies_.context) {}

verdict service::check(fingerprint const& request, time_point now) const {
  verdict const listed = list_.check(request, now);
  if (listed != verdict::allowed) return listed;
  return refuses_alone(request, now) ? verdict::refused : verdict::allowed;
}

bool service::refuses_alone(fingerprint const& request, time_point now) const {
  suspicion const* const seen = seen_here_.find(request);
  if (seen == nullptr || !seen->enough_at) return false;
  // Collectors know better, and a record is in force 0.3 to 0.5 s after this node's own refusal
  // would be: a request that only stood beside the one that ends servers got 39 refusals for that.
  if (dependencies_.are_records_current()) return false;
  // It may still be answered, as soon as servers are back.
  bool const undisputed = now >= *seen->enough_at + quarantine_list::k_objection_time;
  return undisputed && now < seen->last_at + k_local_refusal;
}

std::optional<milliseconds> service::time_to_next_try(fingerprint const& request,
                                                      time_point now) const {
  bool const listed = list_.check(request, now) != verdict::allowed;
  if (listed) return list_.time_to_trial(request, now);
  return refuses_alone(request, now) ? std::optional(k_local_refusal) : std::nullopt;
}

std::size_t service::crashes_seen(fingerprint const& request) const {
  suspicion const* const seen = seen_here_.find(request);
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
  for (crash const& one : crashes) {
    ++counters_.crashes;
    suspicion const& seen = seen_here_.note(one);
    log_line(log_level::info, k_part, "Server ended under a request.",
             {{"fingerprint", one.request.to_string()},
              {"server", one.server},
              {"beside", crashes.size() - 1},
              {"crashes_seen_here", seen.servers.size()},
              {"in_turn", seen.in_turn}});
    outbox_.add(one);
    collect(one);
  }
  evidence_.notify_all();
}

bool service::is_explained_by_others(fingerprint const& request) const {
  return collected_.is_explained_by_others(
      request, [this](fingerprint const& other) { return list_.is_proven(other); });
}

bool service::is_proven(fingerprint const& request) const {
  suspicion const* const known = collected_.find(request);
  if (known == nullptr || known->servers.size() < k_most_crashes) return false;
  return !is_explained_by_others(request);
}

void service::collect(crash const& one) {
  keep_evidence(collected_.note(one));
  start_to_write(one.request);
}

void service::start_to_write(fingerprint const& request) {
  bool const settled = list_.is_proven(request) || writing_.contains(request);
  if (settled || !is_proven(request)) return;
  writing_.insert(request);
  spawn(dependencies_.context, write_record(request));
}

bool service::must_be_recorded(fingerprint const& request) const {
  suspicion const* const seen = seen_here_.find(request);
  if (seen == nullptr || seen->in_turn < k_recorded_crashes) return false;
  bool const settled = list_.find(request) != nullptr || recorded_early_.contains(request) ||
                       suspicions_being_written_ >= k_most_early_writes;
  return !settled && collected_.find(request) != nullptr && !is_explained_by_others(request);
}

awaitable<void> service::record_before_next_run(fingerprint request) {
  co_await crash_watch_.wait_until_examined(request);
  if (!must_be_recorded(request)) co_return;
  recorded_early_.insert(request);
  ++suspicions_being_written_;
  co_await try_to_write(request, true);
  --suspicions_being_written_;
  spawn(dependencies_.context, withdraw_suspicion(request));
}

awaitable<void> service::withdraw_suspicion(fingerprint request) {
  co_await wait_for(k_suspicion_hold);
  co_await remove_while(request, [](quarantine_entry const& one) { return one.is_suspicion; });
  recorded_early_.erase(request);
}

std::size_t service::own_rank() const {
  auto const collectors = dependencies_.find_collectors();
  auto const place = std::find(collectors.begin(), collectors.end(), dependencies_.self);
  return static_cast<std::size_t>(place - collectors.begin());
}

bool service::leaves_it_to_collectors() const {
  // One node's evidence does not show which of the requests explains the crashes.
  auto const collectors = dependencies_.find_collectors();
  if (own_rank() < collectors.size()) return false;
  return std::any_of(collectors.begin(), collectors.end(),
                     [this](endpoint const& one) { return !outbox_.has_pending(one); });
}

awaitable<void> service::write_record(fingerprint request) {
  co_await wait_for(k_turn * static_cast<int>(own_rank() + 1));
  while (is_proven(request) && !list_.is_proven(request) && !leaves_it_to_collectors()) {
    co_await try_to_write(request, false);
    if (!list_.is_proven(request)) co_await wait_for(with_jitter(k_write_retry));
  }
  writing_.erase(request);
}

awaitable<void> service::try_to_write(fingerprint request, bool is_suspicion) {
  quarantine_entry entry;
  quarantine_entry const* const known = list_.find(request);
  if (known != nullptr) entry = *known;
  entry.request = request;
  entry.is_suspicion = is_suspicion;
  entry.servers = collected_.find(request)->servers;
  kv::operation put;
  put.key = quarantine_list::key_of(request);
  put.value = quarantine_list::encode(entry, "");
  std::size_t const servers = entry.servers.size();
  bool const written = co_await apply(std::move(entry), std::move(put));
  if (!written) co_return;
  ++counters_.written;
  log_line(log_level::warning, k_part,
           is_suspicion ? "Suspicion of a request recorded." : "Request put under quarantine.",
           {{"fingerprint", request.to_string()}, {"servers", servers}});
  quarantine_entry const* const surplus = list_.surplus();
  if (surplus != nullptr) start_to_take_back(surplus->request);
}

awaitable<bool> service::apply(quarantine_entry entry, kv::operation change) {
  kv::transaction transaction;
  transaction.compares.push_back({change.key, entry.revision});
  bool const removes = change.kind == kv::operation_kind::remove;
  transaction.on_success.push_back(std::move(change));
  auto const outcome = co_await dependencies_.store.apply(std::move(transaction), k_write_timeout);
  if (!outcome) {
    log_line(log_level::info, k_part, "Record was not changed, as far as is known.",
             {{"fingerprint", entry.request.to_string()}, {"error", outcome.error().message()}});
    co_return false;
  }
  if (!outcome.value().succeeded) {
    auto const& read = outcome.value().read;
    for (kv::key_value const& record : read) take(record, first_sight::later);
    // Nobody tells the end of a record of which the feed has never heard.
    if (read.empty()) forget(entry.request, "the store has no such record");
    co_return false;
  }
  if (removes) {
    forget(entry.request, "taken back here");
    co_return true;
  }
  entry.revision = outcome.value().store_revision;
  list_.put(std::move(entry), boot_clock::now());
  co_return true;
}

awaitable<bool> service::claim_trial(fingerprint request) {
  quarantine_entry const* const known = list_.find(request);
  if (known == nullptr || !claiming_.insert(request).second) co_return false;
  quarantine_entry entry = *known;
  ++entry.trials;
  entry.is_suspicion = false;
  kv::operation put;
  put.key = quarantine_list::key_of(request);
  put.value = quarantine_list::encode(entry, dependencies_.node);
  std::uint32_t const number = entry.trials;
  bool const claimed = co_await apply(std::move(entry), std::move(put));
  claiming_.erase(request);
  log_line(log_level::info, k_part, "Trial asked for.",
           {{"fingerprint", request.to_string()},
            {"number", number},
            {"granted", claimed ? "yes" : "no"}});
  if (claimed) ++counters_.trials;
  co_return claimed;
}

void service::note_answer(fingerprint const& request) {
  seen_here_.clear(request);
  collected_.clear(request);
  outbox_.clear(request);
  answered_here_.note(request, boot_clock::now());
  if (list_.find(request) != nullptr) start_to_take_back(request);
}

void service::start_to_take_back(fingerprint const& request) {
  if (!taking_back_.insert(request).second) return;
  spawn(dependencies_.context, take_back(request));
}

awaitable<void> service::take_back(fingerprint request) {
  // Of many nodes that have answered it, most hear that one of them was faster.
  co_await wait_for(with_jitter(2 * k_take_back_spread) - k_take_back_spread);
  bool const removed = co_await remove_while(request, [](quarantine_entry const&) { return true; });
  if (removed) ++counters_.taken_back;
  taking_back_.erase(request);
}

awaitable<bool> service::remove_while(fingerprint request,
                                      std::function<bool(quarantine_entry const&)> condition) {
  quarantine_entry const* known = list_.find(request);
  while (known != nullptr && condition(*known)) {
    kv::operation remove;
    remove.kind = kv::operation_kind::remove;
    remove.key = quarantine_list::key_of(request);
    if (co_await apply(*known, std::move(remove))) co_return true;
    co_await wait_for(with_jitter(k_write_retry));
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
            {"revision", entry.revision}});
}

void service::take(kv::key_value const& record, first_sight seen) {
  if (record.key.starts_with(evidence_record::records_prefix())) {
    take_evidence(record, seen);
    return;
  }
  auto entry = quarantine_list::decode(record);
  if (!entry) {
    log_line(log_level::error, k_part, "Record is malformed; it has no effect.",
             {{"key", record.key}, {"revision", record.mod_revision}});
    return;
  }
  time_point const now = boot_clock::now();
  if (!list_.put(*entry, now, seen)) return;
  log_record(*entry);
  if (answered_here_.has(entry->request, now)) {
    start_to_take_back(entry->request);
    return;
  }
  if (!entry->is_suspicion) return;
  // The node that saw them may be gone with its evidence: one more crash must be enough.
  for (std::string const& server : entry->servers) collect({entry->request, server, now, now});
}

void service::forget(fingerprint const& request, std::string_view cause) {
  quarantine_entry const* const known = list_.find(request);
  // A withdrawn suspicion was not disproved: what is known against the request stays known.
  bool const withdrawn = known != nullptr && known->is_suspicion;
  if (!withdrawn) {
    seen_here_.clear(request);
    collected_.clear(request);
    outbox_.clear(request);
  }
  if (!list_.remove(request)) return;
  log_line(log_level::info, k_part, "Quarantine ended.",
           {{"fingerprint", request.to_string()}, {"cause", cause}});
}

kv::prefix_watcher_callbacks service::listener() {
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) {
    first_sight const seen = has_had_records_ ? first_sight::later : first_sight::at_start;
    has_had_records_ = true;
    for (kv::key_value const& record : all.entries) take(record, seen);
  };
  callbacks.event = [this](kv::watch_event const& event) {
    if (!event.deleted) {
      take(event.entry, first_sight::later);
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
  seen_here_.expire(now - k_memory);
  collected_.expire(now - k_memory);
  outbox_.expire(now - k_memory);
  keeper_.refresh();
  judge_in_time(now);
  std::erase_if(recorded_early_,
                [this](fingerprint const& request) { return seen_here_.find(request) == nullptr; });
}

}  // namespace frostline::quarantine
