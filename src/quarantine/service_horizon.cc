/// @file The part of the service that finds out whether evidence of earlier crashes may be lost,
/// and that records a single crash while it may.

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"
#include "quarantine/service.h"
#include "rpc/client.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Nodes that start together for the first time write the marker at random times within this
/// spread, so that most of them see that it exists.
constexpr milliseconds k_run_marker_spread{50};
constexpr milliseconds k_run_marker_timeout{400};
constexpr milliseconds k_retry_delay{300};
constexpr milliseconds k_age_query_timeout{250};
/// Delay before the second query; it doubles with each further one. All queries together take up to
/// 13 s, which is longer than a system takes to select its collectors.
constexpr milliseconds k_first_age_query_delay{100};
constexpr int k_max_age_queries = 7;
/// Time for crashes at about the same time to be noted before one of them is recorded.
constexpr milliseconds k_provisional_write_delay{10};
/// Crashes within this time count as one event. If it hit more servers than `k_crash_threshold`, no
/// provisional records are written.
constexpr milliseconds k_wide_crash_window{1'000};
/// Limit of records in the list beyond which no provisional ones are added.
constexpr std::size_t k_max_provisional_records = 32;

}  // namespace

void service::take_first_snapshot(kv::range_answer const& all) {
  bool const first_run = all.entries.empty();
  log_line(log_level::info, k_part, "Records read for the first time.",
           {{"records", all.entries.size()},
            {"first_run", first_run ? "yes" : "no"},
            {"running_for_ms", milliseconds_since(started_at_)}});
  if (first_run) {
    horizon_.note_first_run(boot_clock::now());
    spawn(dependencies_.context, write_run_marker());
    return;
  }
  horizon_.note_previous_run(started_at_);
  spawn(dependencies_.context, query_evidence_age());
}

awaitable<void> service::write_run_marker() {
  co_await wait_for(with_jitter(2 * k_run_marker_spread) - k_run_marker_spread);
  while (!run_marker_writer_) {
    evidence_record const marker{dependencies_.self, incarnation_, {}, wall_clock_ms()};
    kv::transaction transaction;
    transaction.compares.push_back({run_marker_key(), 0});
    kv::operation put;
    put.key = run_marker_key();
    put.value = marker.encode();
    transaction.on_success.push_back(std::move(put));
    auto const outcome =
        co_await dependencies_.store.apply(std::move(transaction), k_run_marker_timeout);
    // If the comparison failed, another node has written the marker.
    if (outcome) co_return;
    co_await wait_for(with_jitter(k_retry_delay));
  }
}

std::vector<endpoint> service::evidence_peers() const {
  std::vector<endpoint> peers = dependencies_.find_collectors();
  if (run_marker_writer_) peers.push_back(*run_marker_writer_);
  std::erase(peers, dependencies_.self);
  return peers;
}

awaitable<void> service::query_evidence_age() {
  milliseconds delay = k_first_age_query_delay;
  for (int query = 0; query < k_max_age_queries && may_lack_evidence(); ++query) {
    evidence_age_query_in_progress_ = true;
    co_await query_evidence_age_once();
    evidence_age_query_in_progress_ = false;
    evidence_age_query_ended_.notify_all();
    if (!may_lack_evidence()) co_return;
    co_await wait_for(with_jitter(delay));
    delay *= 2;
  }
  log_line(log_level::warning, k_part, "Evidence of earlier crashes may be lost.",
           {{"evidence_age_ms", horizon_.age(boot_clock::now()).count()},
            {"running_for_ms", milliseconds_since(started_at_)}});
}

awaitable<void> service::query_evidence_age_once() {
  for (endpoint const& peer : evidence_peers()) {
    auto const reply = co_await rpc::call<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
        dependencies_.transport, peer, "QuarantineService", "Report", rpc::CrashReportCallT(),
        k_age_query_timeout);
    if (reply) take_evidence_age(reply.value());
    if (!may_lack_evidence()) co_return;
  }
}

awaitable<void> service::wait_for_evidence_age() {
  time_point const limit = boot_clock::now() + k_age_query_timeout;
  while (evidence_age_query_in_progress_ && boot_clock::now() < limit) {
    co_await evidence_age_query_ended_.wait_until(limit);
  }
}

void service::take_evidence_age(rpc::CrashReportReplyT const& reply) {
  time_point const now = boot_clock::now();
  bool const extended = horizon_.extend(milliseconds(reply.evidence_age_ms), now);
  if (!extended || horizon_.may_lack_evidence(now)) return;
  log_line(log_level::info, k_part, "Evidence of earlier crashes is complete.",
           {{"evidence_age_ms", horizon_.age(now).count()},
            {"running_for_ms", milliseconds_since(started_at_)}});
}

std::shared_ptr<void> service::begin_unattended_run(fingerprint const& request) {
  unattended_runs_.insert(request);
  return std::shared_ptr<void>(
      nullptr, [this, request](void*) { unattended_runs_.erase(unattended_runs_.find(request)); });
}

void service::note_crashed_server(std::string const& server, time_point now) {
  std::erase_if(crashed_servers_,
                [&](auto const& entry) { return entry.second + k_wide_crash_window <= now; });
  crashed_servers_.try_emplace(server, now);
}

bool service::is_wide_crash(time_point now) const {
  auto const recent =
      std::count_if(crashed_servers_.begin(), crashed_servers_.end(),
                    [&](auto const& entry) { return entry.second + k_wide_crash_window > now; });
  return recent > k_crash_threshold;
}

bool service::needs_provisional_record(fingerprint const& request) const {
  crash_history const* const evidence = collected_.find(request);
  if (evidence == nullptr) return false;
  quarantine_entry const* const known = list_.find(request);
  if (known == nullptr) return may_lack_evidence();
  return known->is_provisional && known->servers.size() < evidence->servers.size();
}

void service::start_provisional_write(fingerprint const& request) {
  bool const answered = recent_answers_.has(request, boot_clock::now());
  bool const full = list_.find(request) == nullptr &&
                    list_.size() + provisional_writes_.size() >= k_max_provisional_records;
  if (answered || full || !needs_provisional_record(request)) return;
  if (!provisional_writes_.insert(request).second) return;
  spawn(dependencies_.context, write_provisional_record(request));
}

awaitable<void> service::write_provisional_record(fingerprint request) {
  co_await wait_for(k_provisional_write_delay);
  co_await wait_for_evidence_age();
  while (needs_provisional_record(request)) {
    bool const wide = is_wide_crash(boot_clock::now());
    if (wide || is_explained_by_others(request)) {
      log_line(log_level::info, k_part, "Crash is not recorded provisionally.",
               {{"fingerprint", request.to_string()}, {"wide", wide ? "yes" : "no"}});
      break;
    }
    co_await try_to_write(request, record_kind::provisional);
    if (needs_provisional_record(request)) co_await wait_for(with_jitter(k_retry_delay));
  }
  if (list_.find(request) == nullptr && !may_lack_evidence()) {
    log_line(log_level::info, k_part,
             "Crash is not recorded provisionally, as evidence of earlier crashes is complete.",
             {{"fingerprint", request.to_string()}});
  }
  provisional_writes_.erase(request);
  provisional_write_ended_.notify_all();
}

awaitable<void> service::wait_for_provisional_record(fingerprint request) {
  time_point const limit = boot_clock::now() + k_provisional_write_wait;
  while (provisional_writes_.contains(request) && boot_clock::now() < limit) {
    co_await provisional_write_ended_.wait_until(limit);
  }
}

}  // namespace frostline::quarantine
