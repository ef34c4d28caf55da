/// @file The service's part that outlasts nodes: evidence in the record store.

#include <algorithm>

#include "base/log.h"
#include "quarantine/service.h"
#include "rpc/client.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Servers that end under a request before evidence of it is kept in the store.
constexpr std::size_t k_kept_crashes = 2;
/// Requests of which evidence is kept: a record of some 12 KB. Those under which most servers ended
/// go first.
constexpr std::size_t k_most_kept = 64;
/// A run that no caller waits for is left for so long at most while evidence is stored: longer than
/// a write takes, and it goes on while the store is out.
constexpr milliseconds k_storing_time{400};
/// The same after the third server has ended: the record is in force 1.3 s later (played), and
/// where it was taken back the runs go on.
constexpr milliseconds k_record_time{2'000};
/// What was found at the start is judged once there are collectors, mostly within a second.
constexpr milliseconds k_judging_time{3'000};
/// Requests that are put under quarantine for what was found at a start. One that ends servers is
/// rare; the others only stood beside it, and their first trial clears them.
constexpr std::size_t k_most_condemned = 16;
/// Former records that are removed together: a transaction of the users' store takes 32 entries.
constexpr std::size_t k_most_removed = 16;
constexpr milliseconds k_question_timeout{250};
constexpr milliseconds k_removal_timeout{400};
/// Older evidence says little: see `service::clean`.
constexpr std::uint64_t k_longest_kept_ms = 600'000;

}  // namespace

std::vector<kept_evidence> service::select_evidence() const {
  std::vector<kept_evidence> selected;
  for (fingerprint const& request : collected_.heaviest(least_kept_crashes(), k_most_kept)) {
    // A record outlasts all nodes by itself.
    if (list_.is_proven(request)) continue;
    selected.push_back({request, collected_.find(request)->servers});
  }
  return selected;
}

std::size_t service::least_kept_crashes() const {
  // Without collectors, as when the whole system has just started, only the store brings together
  // what different nodes have seen.
  return dependencies_.find_collectors().empty() ? 1 : k_kept_crashes;
}

void service::keep_evidence(suspicion const& known) {
  bool const keeps = is_collector() || dependencies_.find_collectors().empty();
  if (keeps && known.servers.size() >= least_kept_crashes()) keeper_.keep();
}

bool service::should_wait(fingerprint const& request, time_point now) {
  if (former_.contains(request) && now < former_until_) return true;
  // Until the record is in force, only an answer to the request's other callers could end it.
  bool const is_recorded = list_.is_proven(request);
  if (is_recorded) return list_.check(request, now) == verdict::allowed;
  suspicion const* const seen = seen_here_.find(request);
  if (seen == nullptr || seen->servers.size() < k_kept_crashes) return false;
  if (is_explained_by_others(request)) return false;
  if (seen->enough_at) return now < seen->last_at + k_record_time;
  if (keeper_.holds(request, seen->servers.size())) return false;
  keeper_.keep();
  return now < seen->last_at + k_storing_time;
}

void service::take_evidence(kv::key_value const& record, first_sight seen) {
  auto const found = evidence_record::decode(record.value);
  if (!found) {
    log_line(log_level::error, k_part, "Evidence is malformed; it is passed over.",
             {{"key", record.key}, {"revision", record.mod_revision}});
    return;
  }
  kv::revision& taken = evidence_taken_[record.key];
  if (record.mod_revision <= taken) return;
  taken = record.mod_revision;
  bool const own = found->incarnation == incarnation_;
  bool const old = found->written_at_ms + k_longest_kept_ms < wall_clock_ms();
  log_line(log_level::info, k_part, "Evidence heard of.",
           {{"key", record.key},
            {"requests", found->requests.size()},
            {"own", own ? "yes" : "no"},
            {"old", old ? "yes" : "no"},
            {"at_start", seen == first_sight::at_start ? "yes" : "no"}});
  if (own || old) return;
  time_point const now = boot_clock::now();
  if (seen == first_sight::at_start) {
    former_until_ = now + k_judging_time;
    for (kept_evidence const& one : found->requests) former_.insert(one.request);
    found_at_start_.push_back({record.key, record.mod_revision, *found});
  }
  for (kept_evidence const& one : found->requests) {
    // Its writer keeps it: it is not stored again here.
    for (std::string const& server : one.servers) {
      collected_.note({one.request, server, now, now});
    }
    start_to_write(one.request);
  }
}

void service::judge_in_time(time_point now) {
  if (now >= former_until_) former_.clear();
  if (found_at_start_.empty() || judging_ || own_rank() != 0) return;
  bool const is_first = !dependencies_.find_collectors().empty();
  if (!is_first) return;
  judging_ = true;
  spawn(dependencies_.context, judge_former_evidence());
}

awaitable<bool> service::is_remembered(evidence_record const& record) {
  if (record.writer == dependencies_.self) co_return record.incarnation == incarnation_;
  auto const reply = co_await rpc::call<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
      dependencies_.transport, record.writer, "QuarantineService", "Report",
      rpc::CrashReportCallT(), k_question_timeout);
  co_return reply&& reply.value().incarnation == record.incarnation;
}

awaitable<void> service::judge_former_evidence() {
  std::set<fingerprint> remembered;
  std::vector<kept_evidence> forgotten;
  for (former_record const& one : std::vector<former_record>(found_at_start_)) {
    bool const known = co_await is_remembered(one.what);
    for (kept_evidence const& kept : one.what.requests) {
      if (known) remembered.insert(kept.request);
      if (!known) forgotten.push_back(kept);
    }
  }
  std::size_t condemned = 0;
  for (kept_evidence const& one : forgotten) {
    bool const settled = remembered.contains(one.request) || list_.is_proven(one.request) ||
                         collected_.find(one.request) == nullptr ||
                         is_explained_by_others(one.request);
    if (settled || condemned == k_most_condemned) continue;
    ++condemned;
    log_line(log_level::warning, k_part, "Nobody remembers what the store tells of a request.",
             {{"fingerprint", one.request.to_string()}, {"servers", one.servers.size()}});
    co_await try_to_write(one.request, false);
  }
  former_.clear();
  keeper_.keep();
  co_await remove_former_records();
  found_at_start_.clear();
  judging_ = false;
}

awaitable<void> service::remove_former_records() {
  kv::transaction removal;
  for (former_record const& one : found_at_start_) {
    bool const own = one.key == evidence_record::key_of(dependencies_.node);
    if (own || removal.on_success.size() == k_most_removed) continue;
    if (co_await is_remembered(one.what)) continue;
    removal.compares.push_back({one.key, one.revision});
    kv::operation remove;
    remove.kind = kv::operation_kind::remove;
    remove.key = one.key;
    removal.on_success.push_back(std::move(remove));
  }
  if (removal.on_success.empty()) co_return;
  std::size_t const count = removal.on_success.size();
  auto const outcome = co_await dependencies_.store.apply(std::move(removal), k_removal_timeout);
  // Left as they are, they are found again at the next start, until they are old.
  bool const removed = outcome && outcome.value().succeeded;
  log_line(log_level::info, k_part, "Evidence of nodes that are gone is removed.",
           {{"records", count}, {"done", removed ? "yes" : "no"}});
}

}  // namespace frostline::quarantine
