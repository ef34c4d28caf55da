#include "jobs/progress_replica.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
/// Minimum interval of reports. Without new progress, a report shows that the owner is alive.
constexpr milliseconds k_report_interval{250};
/// Interval of empty reports, which show that the owner is alive.
constexpr milliseconds k_idle_interval{1000};
constexpr milliseconds k_report_timeout{500};
constexpr std::size_t k_max_report_bytes = 512 * 1024;
/// Age of the last report from which on a replica counts as out of date.
constexpr milliseconds k_freshness_limit{12'000};
constexpr milliseconds k_peer_expiry{20'000};
constexpr milliseconds k_failed_peer_backoff{3000};
/// Differences in start time up to this one are ignored in the choice of replicas.
constexpr milliseconds k_min_age_difference{3000};

}  // namespace

bool progress_replica::take(rpc::ProgressReportT report, time_point now) {
  if (report.epoch < epoch_) return false;
  epoch_ = report.epoch;
  last_report_at_ = now;
  std::set<std::string> const open(report.jobs.begin(), report.jobs.end());
  std::erase_if(jobs_, [&](auto const& entry) { return !open.contains(entry.first); });
  for (auto& entry : report.entries) {
    auto text = find_text_prefix(*entry, report.epoch);
    if (!text) return false;
    entry->text = std::move(*text) + entry->text;
    std::uint32_t const index = entry->index;
    auto& held = jobs_[entry->job];
    held[index] = {report.epoch, std::move(*entry)};
  }
  return true;
}

std::optional<std::string> progress_replica::find_text_prefix(rpc::SampleProgressT const& entry,
                                                              std::uint64_t epoch) const {
  if (entry.from_bytes == 0) return std::string();
  auto const job = jobs_.find(entry.job);
  if (job == jobs_.end()) return std::nullopt;
  auto const found = job->second.find(entry.index);
  if (found == job->second.end()) return std::nullopt;
  held_progress const& held = found->second;
  bool const same = held.epoch == epoch && held.progress.generation == entry.generation;
  if (!same || entry.from_bytes > held.progress.text.size()) return std::nullopt;
  return held.progress.text.substr(0, entry.from_bytes);
}

bool progress_replica::is_fresh(time_point now) const {
  return epoch_ != 0 && now - last_report_at_ < k_freshness_limit;
}

std::vector<rpc::SampleProgressT> progress_replica::job_progress(std::string const& job) const {
  std::vector<rpc::SampleProgressT> all;
  auto const found = jobs_.find(job);
  if (found == jobs_.end()) return all;
  for (auto const& [index, held] : found->second) all.push_back(held.progress);
  return all;
}

rpc::ProgressReportT progress_replica::full_report(std::string const& pool) const {
  rpc::ProgressReportT report;
  report.pool = pool;
  report.epoch = epoch_;
  report.whole = true;
  for (auto const& [job_id, samples] : jobs_) {
    report.jobs.push_back(job_id);
    for (auto const& [index, held] : samples) {
      auto entry = std::make_unique<rpc::SampleProgressT>(held.progress);
      entry->from_bytes = 0;
      report.entries.push_back(std::move(entry));
    }
  }
  return report;
}

void progress_replica::clear() {
  jobs_.clear();
  epoch_ = 0;
}

void progress_sender::note_peer(endpoint const& where, std::string const& zone, milliseconds uptime,
                                double processor_share, time_point now) {
  peer& peer_info = peers_[where];
  peer_info.zone = zone;
  peer_info.processor_share = processor_share;
  peer_info.started_at = now - uptime;
  peer_info.last_seen_at = now;
}

void progress_sender::begin_term() {
  send_full_report_ = true;
  replicas_.clear();
}

bool progress_sender::is_better(endpoint const& left, endpoint const& right) const {
  peer const& first = peers_.at(left);
  peer const& second = peers_.at(right);
  if (first.processor_share != second.processor_share) {
    return first.processor_share > second.processor_share;
  }
  if (first.started_at > second.started_at + k_min_age_difference) return true;
  if (second.started_at > first.started_at + k_min_age_difference) return false;
  bool const left_is_current = replicas_.contains(left);
  if (left_is_current != replicas_.contains(right)) return left_is_current;
  return first.zone == zone_ && second.zone != zone_;
}

std::optional<endpoint> progress_sender::choose_best_peer(std::set<endpoint> const& excluded,
                                                          time_point now) const {
  std::optional<endpoint> best;
  for (auto const& [where, candidate] : peers_) {
    if (candidate.backoff_until > now || excluded.contains(where)) continue;
    if (!best || is_better(where, *best)) best = where;
  }
  return best;
}

void progress_sender::choose_replicas(std::size_t replica_count, time_point now) {
  std::erase_if(peers_, [&](auto const& entry) {
    return now - entry.second.last_seen_at > k_peer_expiry && !replicas_.contains(entry.first);
  });
  std::set<endpoint> chosen;
  while (chosen.size() < replica_count) {
    auto const next = choose_best_peer(chosen, now);
    if (!next) break;
    chosen.insert(*next);
  }
  if (chosen == replicas_) return;
  // Replicas that were chosen before need only the changes; a new one needs full texts.
  bool const has_new =
      !std::includes(replicas_.begin(), replicas_.end(), chosen.begin(), chosen.end());
  send_full_report_ = send_full_report_ || has_new;
  replicas_ = std::move(chosen);
  log_replicas();
}

void progress_sender::log_replicas() const {
  std::string names;
  for (endpoint const& replica : replicas_)
    names += (names.empty() ? "" : ",") + replica.to_string();
  log_line(log_level::info, k_part, "Nodes that hold a copy of the progress change.",
           {{"pool", pool_}, {"replicas", names}, {"known_peers", peers_.size()}});
}

rpc::ProgressReportT progress_sender::make_report(job_table& table, std::uint64_t epoch) {
  if (send_full_report_) table.reset_replicated();
  send_full_report_ = false;
  rpc::ProgressReportT report;
  report.pool = pool_;
  report.epoch = epoch;
  for (auto const& [id, job] : table.jobs()) {
    if (job->is_open()) report.jobs.push_back(id);
  }
  for (auto& progress : table.take_progress(k_max_report_bytes)) {
    report.entries.push_back(std::make_unique<rpc::SampleProgressT>(std::move(progress)));
  }
  return report;
}

void progress_sender::advance(job_table& table, std::uint64_t epoch, std::size_t replica_count,
                              time_point now) {
  if (pending_replies_ > 0 || now - last_sent_at_ < k_report_interval) return;
  choose_replicas(replica_count, now);
  if (replicas_.empty()) return;
  auto report = make_report(table, epoch);
  bool const idle = report.entries.empty();
  if (idle && now - last_sent_at_ < k_idle_interval) return;
  last_sent_at_ = now;
  send_to_all(std::move(report));
}

awaitable<void> progress_sender::finish(job_table& table, std::uint64_t epoch) {
  while (pending_replies_ > 0) co_await wait_for(milliseconds(5));
  choose_replicas(k_replicas, boot_clock::now());
  if (replicas_.empty()) co_return;
  send_to_all(make_report(table, epoch));
  while (pending_replies_ > 0) co_await wait_for(milliseconds(5));
}

void progress_sender::send_to_all(rpc::ProgressReportT report) {
  auto const shared = std::make_shared<rpc::ProgressReportT const>(std::move(report));
  // A failed send removes the replica from `replicas_`, possibly during this loop.
  std::set<endpoint> const all = replicas_;
  pending_replies_ = all.size();
  for (endpoint const& where : all) spawn(context_, send(where, shared));
}

awaitable<void> progress_sender::send(endpoint where, shared_report report) {
  auto const reply = co_await rpc::call<rpc::ProgressReportT, rpc::ProgressReplyT>(
      transport_, where, "JobService", "Replicate", *report, k_report_timeout);
  --pending_replies_;
  bool const has_newer_owner = reply && reply.value().known_epoch > report->epoch;
  if (has_newer_owner && on_newer_owner_) on_newer_owner_(reply.value().known_epoch);
  bool const taken = reply && reply.value().taken;
  if (taken) co_return;
  send_full_report_ = true;
  if (reply) co_return;
  log_line(log_level::info, k_part, "Replica did not answer.",
           {{"pool", pool_}, {"replica", where.to_string()}, {"error", reply.error().detail}});
  auto const found = peers_.find(where);
  if (found != peers_.end())
    found->second.backoff_until = boot_clock::now() + k_failed_peer_backoff;
  replicas_.erase(where);
}

}  // namespace frostline::jobs
