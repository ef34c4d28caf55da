#include "jobs/pool_owner.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"
#include "rpc/client.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_tick{100};
constexpr milliseconds k_least_pause{4};
constexpr milliseconds k_orders_interval{40};
/// An owner whose lease has lapsed begins runs for that long, unless it hears of another owner.
constexpr milliseconds k_lapsed_work{8000};
constexpr milliseconds k_load_pause{100};
constexpr milliseconds k_retry_after{250};
constexpr milliseconds k_offer_timeout{1000};
constexpr std::size_t k_longest_list = 900 * 1024;
constexpr milliseconds k_longest_wait{1000};

rpc::JobReplyT reply_with(rpc::JobStatus status, std::string detail) {
  rpc::JobReplyT reply;
  reply.status = status;
  reply.detail = std::move(detail);
  if (status == rpc::JobStatus::UNAVAILABLE) {
    reply.retry_after_ms = static_cast<std::uint64_t>(k_retry_after.count());
  }
  return reply;
}

/// Tokens of all items, as their submitter bounds them.
std::uint64_t size_of(rpc::JobRecordT const& record) {
  std::uint64_t tokens = 0;
  for (auto const& item : record.items) tokens += item->tokens;
  return tokens;
}

engines::order_authority make_authority(owner_parts const& parts, sample_runner const& runner) {
  engines::order_authority authority;
  authority.holder = parts.node;
  ownership::pool_lease& lease = parts.lease;
  authority.may_order = [&lease] {
    time_point const now = steady_clock::now();
    return lease.holds(now) && now >= lease.orders_from();
  };
  authority.fence = [&lease] { return lease.epoch(); };
  authority.mode_for = [&runner](engines::board_engine const& engine) {
    bool const bound = runner.has_single_version_run(engine.server.id);
    return bound ? engines::load_mode::wait_for_runs : engines::load_mode::keep_runs;
  };
  return authority;
}

}  // namespace

pool_owner::pool_owner(owner_parts parts)
    : parts_(std::move(parts)),
      orders_(parts_.context, board_, parts_.control, make_authority(parts_, runner_)),
      log_(parts_.context, parts_.store, parts_.limits, parts_.lease.pool()),
      runner_(runner_parts{parts_.context, parts_.configuration, parts_.servers, parts_.connections,
                           parts_.forwarder, parts_.names, board_, table_, [this] { notify(); }}),
      progress_(parts_.context, parts_.transport, parts_.lease.pool(), parts_.zone),
      work_(parts_.context),
      listed_(parts_.context),
      written_(parts_.context) {}

void pool_owner::start() {
  parts_.lease.on_change([this] { gained(); }, [this] { lost(); });
  progress_.on_newer_owner([this](std::uint64_t epoch) {
    newer_epoch_ = std::max(newer_epoch_, epoch);
    notify();
  });
  spawn(parts_.context, advance_loop());
}

void pool_owner::notify() {
  work_pending_ = true;
  work_.notify_all();
}

void pool_owner::note_servers() {
  servers_changed_ = true;
  notify();
}

void pool_owner::gained() {
  state_ = owner_state::loading;
  spawn(parts_.context, load(++term_));
}

void pool_owner::lost() {
  ++term_;
  log_.close();
  submitting_.clear();
  written_.notify_all();
  bool const was_loaded = state_ == owner_state::active || state_ == owner_state::suspended;
  state_ = was_loaded ? owner_state::suspended : owner_state::standby;
}

void pool_owner::drop_everything() {
  state_ = owner_state::standby;
  runner_.abort_runs({});
  table_.jobs().clear();
  ended_unread_.clear();
  listed_.notify_all();
}

awaitable<void> pool_owner::load(std::uint64_t term) {
  time_point const begin = steady_clock::now();
  bool done = co_await load_marks(term);
  while (!done && term == term_) {
    co_await wait_for(with_jitter(k_load_pause));
    done = co_await load_marks(term);
  }
  if (term != term_) co_return;
  replica_.clear();
  progress_.begin_term();
  log_.open(ownership::pool_lease::key_of(parts_.lease.pool()), parts_.lease.epoch());
  orders_.begin_term();
  state_ = owner_state::active;
  auto const spent = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
  log_line(log_level::info, k_part, "Jobs loaded.",
           {{"pool", parts_.lease.pool()},
            {"epoch", parts_.lease.epoch()},
            {"jobs", table_.jobs().size()},
            {"ended", ended_unread_.size()},
            {"after_ms", spent.count()}});
  listed_.notify_all();
  notify();
}

awaitable<bool> pool_owner::load_marks(std::uint64_t term) {
  std::string const pool = parts_.lease.pool();
  auto answer = co_await parts_.store.list(record_keys::marks_prefix(pool));
  if (!answer || term != term_) co_return false;
  stored_marks const marks = read_marks(pool, answer.value().entries);
  for (std::string const& id : marks.ended) {
    if (!table_.end(id)) ended_unread_.insert(id);
  }
  for (auto const& [id, held] : table_.jobs()) held->committing = 0;
  for (std::string const& id : marks.open) {
    bool const loaded = co_await load_job(id);
    if (!loaded || term != term_) co_return false;
  }
  co_return true;
}

awaitable<bool> pool_owner::load_job(std::string id) {
  std::string const pool = parts_.lease.pool();
  auto answer = co_await parts_.store.list(record_keys::data_prefix(pool, id));
  if (!answer) co_return false;
  stored_job stored = read_job(pool, id, answer.value().entries);
  if (!stored.record) {
    log_line(log_level::error, k_part, "A job's record can't be read.", {{"job", id}});
    co_return true;
  }
  orders_.note_job(stored.record->model, stored.record->min_version, size_of(*stored.record));
  time_point const now = steady_clock::now();
  table_.add(std::move(*stored.record), now);
  for (rpc::ResultBatchT& batch : stored.batches) table_.restore(std::move(batch));
  std::size_t adopted = 0;
  for (rpc::SampleProgressT const& progress : replica_.of_job(id)) {
    if (table_.adopt(progress, now)) ++adopted;
  }
  if (adopted > 0) {
    log_line(log_level::info, k_part, "Progress of the former owner taken over.",
             {{"job", id}, {"samples", adopted}});
  }
  co_return true;
}

awaitable<void> pool_owner::ensure_loaded(std::string id) {
  if (!ended_unread_.contains(id)) co_return;
  std::uint64_t const term = term_;
  bool const loaded = co_await load_job(id);
  if (!loaded || term != term_) co_return;
  table_.end(id);
  ended_unread_.erase(id);
}

awaitable<void> pool_owner::advance_loop() {
  while (true) {
    // Changes that come close together are acted on together.
    co_await wait_for(k_least_pause);
    if (!work_pending_) co_await work_.wait_until(steady_clock::now() + k_tick);
    work_pending_ = false;
    bool const seen = state_ == owner_state::suspended && parts_.lease.owner() &&
                      parts_.lease.owner()->node != parts_.node;
    bool const told = newer_epoch_ > parts_.lease.epoch() && state_ != owner_state::standby &&
                      !parts_.lease.holds(steady_clock::now());
    if (told) lost();
    if (seen || told) drop_everything();
    offer_replica();
    parts_.lease.set_preferred(state_ == owner_state::standby &&
                               replica_.is_fresh(steady_clock::now()));
    if (state_ == owner_state::active || state_ == owner_state::suspended) advance();
  }
}

void pool_owner::advance() {
  time_point const now = steady_clock::now();
  refresh_board();
  refresh_terms();
  table_.expire(now);
  if (may_start_runs(now)) runner_.advance(now);
  progress_.advance(table_, parts_.lease.epoch(), now);
  if (state_ != owner_state::active) return;
  if (now - orders_planned_at_ >= k_orders_interval) {
    orders_planned_at_ = now;
    orders_.advance(now);
  }
  commit_results(false);
  forget_old(now);
}

void pool_owner::refresh_board() {
  if (!servers_changed_) return;
  servers_changed_ = false;
  std::vector<directory::server const*> engines;
  for (auto const& [id, one] : parts_.servers.servers()) {
    if (!one.models.empty()) engines.push_back(&one);
  }
  board_.update(engines);
  auto const table = parts_.configuration.table();
  auto const* pool = table ? table->find_service(parts_.lease.pool()) : nullptr;
  if (pool != nullptr && pool->engines) board_.set_cache_tokens(pool->engines->cache_tokens);
}

void pool_owner::refresh_terms() {
  auto const table = parts_.configuration.table();
  if (!table) return;
  for (auto const& [id, held] : table_.jobs()) {
    if (!held->is_open()) continue;
    auto const* route = table->match(held->record.host, held->record.path);
    if (route == nullptr) continue;
    held->terms.max_attempts = route->max_attempts;
    held->terms.priority = route->priority;
    held->terms.due = route->due;
    held->terms.max_queue = route->max_queue;
    held->terms.single_version = route->single_version;
  }
}

void pool_owner::commit_results(bool all) {
  time_point const now = all ? time_point::max() : steady_clock::now();
  for (auto const& [id, held] : table_.jobs()) {
    auto batch = table_.next_batch(*held, now, log_.value_limit());
    if (!batch) continue;
    std::uint64_t const term = term_;
    log_.write_results(*batch, [this, term, job_id = id](write_outcome outcome) {
      if (term != term_) return;
      job* const owner = table_.find(job_id);
      if (owner == nullptr) return;
      if (outcome == write_outcome::stored) {
        table_.confirm(*owner);
        log_line(log_level::info, k_part, "Results listed.",
                 {{"job", job_id},
                  {"positions", owner->listed.size()},
                  {"items", owner->samples.size()},
                  {"epoch", parts_.lease.epoch()}});
        listed_.notify_all();
      } else {
        table_.abandon_batch(*owner);
      }
    });
  }
}

void pool_owner::forget_old(time_point now) {
  std::vector<std::string> old;
  for (auto const& [id, held] : table_.jobs()) {
    if (!held->is_open() && now - held->accepted_at > parts_.retention) old.push_back(id);
  }
  for (std::string const& id : old) {
    table_.forget(id);
    spawn(parts_.context, erase(id));
  }
}

awaitable<void> pool_owner::erase(std::string id) {
  std::string const pool = parts_.lease.pool();
  auto answer = co_await parts_.store.list(record_keys::data_prefix(pool, id));
  // What is not erased now is erased by a later owner.
  if (!answer || state_ != owner_state::active) co_return;
  std::vector<std::string> keys;
  keys.push_back(record_keys::accepted_mark(pool, id));
  keys.push_back(record_keys::ended_mark(pool, id));
  for (kv::key_value const& one : answer.value().entries) keys.push_back(one.key);
  log_.remove(std::move(keys));
}

awaitable<void> pool_owner::flush(time_point deadline) {
  if (state_ != owner_state::active) co_return;
  commit_results(true);
  while (state_ == owner_state::active && !log_.is_idle() && steady_clock::now() < deadline) {
    co_await wait_for(milliseconds(5));
  }
  co_await progress_.finish(table_, parts_.lease.epoch());
}

bool pool_owner::is_certain() const {
  return state_ == owner_state::active && parts_.lease.holds(steady_clock::now());
}

bool pool_owner::may_start_runs(time_point now) {
  if (parts_.lease.holds(now)) held_at_ = now;
  return now - held_at_ < k_lapsed_work;
}

bool pool_owner::can_read() const {
  return state_ == owner_state::active || state_ == owner_state::suspended;
}

rpc::ProgressReplyT pool_owner::replicate(rpc::ProgressReportT report) {
  rpc::ProgressReplyT reply;
  bool const own = state_ == owner_state::active || state_ == owner_state::suspended;
  // Changes that a former owner still reports go on from what this node does not hold.
  if (own && report.whole && report.epoch < parts_.lease.epoch()) {
    adopt(report);
    reply.taken = true;
    return reply;
  }
  reply.taken = !own && replica_.take(std::move(report), steady_clock::now());
  return reply;
}

void pool_owner::adopt(rpc::ProgressReportT const& report) {
  std::size_t adopted = 0;
  for (auto const& progress : report.entries) {
    if (!table_.adopt(*progress, steady_clock::now())) continue;
    runner_.abort_run(progress->job, progress->index);
    ++adopted;
  }
  log_line(log_level::info, k_part, "Progress of the former owner taken over.",
           {{"pool", report.pool}, {"former_epoch", report.epoch}, {"samples", adopted}});
  notify();
}

void pool_owner::offer_replica() {
  auto const& owner = parts_.lease.owner();
  bool const followed = owner && owner->node != parts_.node && owner->epoch > replica_.epoch();
  if (state_ != owner_state::standby || !followed) return;
  if (replica_.is_fresh(steady_clock::now())) {
    spawn(parts_.context, send_offer(owner->address, replica_.whole(parts_.lease.pool())));
  }
  replica_.clear();
}

awaitable<void> pool_owner::send_offer(endpoint where, rpc::ProgressReportT report) {
  auto const reply = co_await rpc::call<rpc::ProgressReportT, rpc::ProgressReplyT>(
      parts_.transport, where, "JobService", "Replicate", report, k_offer_timeout);
  log_line(log_level::info, k_part, "Progress offered to the new owner.",
           {{"pool", report.pool},
            {"owner", where.to_string()},
            {"samples", report.entries.size()},
            {"taken", reply && reply.value().taken ? "yes" : "no"}});
}

awaitable<rpc::JobReplyT> pool_owner::handle(rpc::JobCallT call) {
  auto const peer = parse_endpoint(call.from_address);
  if (peer) {
    progress_.note_peer(*peer, call.from_zone, milliseconds(call.from_uptime_ms),
                        steady_clock::now());
  }
  switch (call.action) {
    case rpc::JobAction::SUBMIT:
      co_return co_await submit(std::move(call));
    case rpc::JobAction::LIST:
      co_return co_await list(std::move(call));
    case rpc::JobAction::BODY:
      co_return body(call);
    case rpc::JobAction::END:
      co_return co_await end(std::move(call));
  }
  co_return reply_with(rpc::JobStatus::INVALID, "unknown action");
}

void pool_owner::accept(rpc::JobRecordT record) {
  std::string const id = record.id;
  orders_.note_job(record.model, record.min_version, size_of(record));
  log_line(log_level::info, k_part, "Job accepted.",
           {{"job", id},
            {"model", record.model},
            {"step", record.step},
            {"min_version", record.min_version},
            {"newest_version", orders_.newest(record.model)},
            {"items", record.items.size()},
            {"desired", record.desired},
            {"epoch", parts_.lease.epoch()}});
  table_.add(std::move(record), steady_clock::now());
  notify();
}

awaitable<rpc::JobReplyT> pool_owner::submit(rpc::JobCallT call) {
  if (!call.record || call.record->items.empty()) {
    co_return reply_with(rpc::JobStatus::INVALID, "no items");
  }
  std::string const id = call.record->id;
  bool const known = table_.find(id) != nullptr || ended_unread_.contains(id);
  if (known && can_read()) co_return reply_with(rpc::JobStatus::OK, {});
  if (state_ != owner_state::active) {
    co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (!submitting_.contains(id)) {
    submitting_[id] = true;
    std::uint64_t const term = term_;
    auto record = std::make_shared<rpc::JobRecordT>(std::move(*call.record));
    log_.write_record(*record, [this, term, id, record](write_outcome outcome) {
      if (term == term_) {
        submitting_.erase(id);
        if (outcome == write_outcome::stored) accept(std::move(*record));
      }
      written_.notify_all();
    });
  }
  time_point const deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  while (submitting_.contains(id) && steady_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  if (table_.find(id) != nullptr) co_return reply_with(rpc::JobStatus::OK, {});
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

awaitable<rpc::JobReplyT> pool_owner::list(rpc::JobCallT call) {
  auto const wait = std::min(milliseconds(call.wait_ms), k_longest_wait);
  time_point const deadline = steady_clock::now() + wait;
  while (true) {
    if (!can_read()) co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
    co_await ensure_loaded(call.job);
    job* const owner = table_.find(call.job);
    if (owner == nullptr) {
      bool const sure = is_certain() && !ended_unread_.contains(call.job);
      co_return reply_with(sure ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE, {});
    }
    bool const waiting =
        owner->listed.size() <= call.after && steady_clock::now() < deadline && owner->is_open();
    if (!waiting) break;
    co_await listed_.wait_until(deadline);
  }
  job const& owner = *table_.find(call.job);
  rpc::JobReplyT reply;
  reply.total = owner.samples.size();
  std::size_t bytes = 0;
  for (std::size_t place = call.after; place < owner.listed.size(); ++place) {
    rpc::SampleResultT const& result = owner.samples[owner.listed[place]].result;
    bytes += result.text.size() + result.score.size() + 160;
    if (bytes > k_longest_list && !reply.results.empty()) break;
    reply.results.push_back(std::make_unique<rpc::SampleResultT>(result));
  }
  co_return reply;
}

rpc::JobReplyT pool_owner::body(rpc::JobCallT const& call) {
  if (!can_read()) return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  job const* const owner = table_.find(call.job);
  if (owner == nullptr && !is_certain()) {
    return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (owner == nullptr || owner->ended) return reply_with(rpc::JobStatus::UNKNOWN_JOB, {});
  for (sample const& one : owner->samples) {
    if (one.spec->id != call.item) continue;
    rpc::JobReplyT reply;
    reply.body = one.spec->body;
    return reply;
  }
  return reply_with(rpc::JobStatus::UNKNOWN_JOB, "no such item");
}

awaitable<rpc::JobReplyT> pool_owner::end(rpc::JobCallT call) {
  if (state_ != owner_state::active) {
    co_return reply_with(rpc::JobStatus::UNAVAILABLE, "not the owner");
  }
  if (ended_unread_.contains(call.job)) co_return reply_with(rpc::JobStatus::OK, {});
  job* const owner = table_.find(call.job);
  if (owner == nullptr) {
    auto const status = is_certain() ? rpc::JobStatus::UNKNOWN_JOB : rpc::JobStatus::UNAVAILABLE;
    co_return reply_with(status, {});
  }
  if (owner->ended && !writing_.contains(call.job)) co_return reply_with(rpc::JobStatus::OK, {});
  bool const lost = writing_.contains(call.job) && writing_[call.job] &&
                    *writing_[call.job] != write_outcome::stored;
  if (!owner->ended || lost) {
    table_.end(call.job);
    runner_.abort_runs(call.job);
    writing_[call.job] = nullptr;
    log_.write_end(call.job, [this, id = call.job](write_outcome outcome) {
      writing_[id] = std::make_shared<write_outcome const>(outcome);
      written_.notify_all();
    });
  }
  time_point const deadline = steady_clock::now() + milliseconds(call.deadline_ms);
  while (writing_.contains(call.job) && !writing_[call.job] && steady_clock::now() < deadline) {
    co_await written_.wait_until(deadline);
  }
  auto const found = writing_.find(call.job);
  bool const pending = found != writing_.end() && !found->second;
  bool const stored =
      found == writing_.end() || (found->second && *found->second == write_outcome::stored);
  if (!pending && stored) {
    writing_.erase(call.job);
    log_line(log_level::info, k_part, "Job ended.",
             {{"job", call.job}, {"epoch", parts_.lease.epoch()}});
    notify();
    co_return reply_with(rpc::JobStatus::OK, {});
  }
  co_return reply_with(rpc::JobStatus::OUTCOME_UNKNOWN, "the record store has not answered");
}

}  // namespace frostline::jobs
