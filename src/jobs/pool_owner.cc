#include "jobs/pool_owner.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"
#include "jobs/job_check.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_iteration_interval{100};
constexpr milliseconds k_min_iteration_gap{4};
constexpr milliseconds k_orders_interval{40};
/// Iterations at least this long are logged, since they could delay the renewal of the lease.
constexpr milliseconds k_slow_iteration{100};
constexpr milliseconds k_load_retry_delay{100};
/// Time without a confirmed lease renewal after which the store counts as unavailable. Renewals are
/// sent every 400 ms, and one without an answer is repeated after 150 ms.
constexpr milliseconds k_store_outage_threshold{700};
constexpr milliseconds k_checkpoint_interval{1000};
/// Minimum age of a text in a checkpoint, since its first event. Most runs are shorter.
constexpr milliseconds k_checkpoint_age{1500};
/// Limit of the total size of the texts in a checkpoint, in bytes; the last text may exceed the
/// limit.
constexpr std::size_t k_checkpoint_bytes = 256 * 1024;
/// Time after which a job whose results are all listed is removed although its submitter has not
/// ended it. A submitter that was lost never does, and results must not pile up for ever.
constexpr std::chrono::hours k_max_unended_time{24};
/// How long calls wait for a loading or suspended owner, to avoid repeated retries.
constexpr milliseconds k_max_ready_wait{400};

engines::order_authority make_authority(pool_owner_dependencies const& dependencies,
                                        sample_runner const& runner) {
  engines::order_authority authority;
  authority.holder = dependencies.node;
  authority.service = dependencies.lease.resource();
  ownership::owner_lease& lease = dependencies.lease;
  authority.may_order = [&lease] { return lease.may_order(boot_clock::now()); };
  authority.fence = [&lease] { return lease.epoch(); };
  authority.mode_for = [&runner](engines::engine_entry const& engine) {
    bool const bound = runner.has_single_version_run(engine.server.id);
    return bound ? engines::load_mode::wait_for_runs : engines::load_mode::keep_runs;
  };
  return authority;
}

}  // namespace

pool_owner::pool_owner(pool_owner_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      orders_(dependencies_.context, board_, dependencies_.control,
              make_authority(dependencies_, runner_)),
      log_(dependencies_.context, dependencies_.store, dependencies_.limits,
           dependencies_.lease.resource()),
      runner_(runner_dependencies{
          dependencies_.context, dependencies_.configuration, dependencies_.servers,
          dependencies_.connections, dependencies_.forwarder, dependencies_.names, board_, table_,
          estimates_, [this] { return may_resend(); }, [this] { notify(); }}),
      progress_(dependencies_.context, dependencies_.transport, dependencies_.lease.resource(),
                dependencies_.zone),
      work_(dependencies_.context),
      loaded_(dependencies_.context),
      listed_(dependencies_.context),
      written_(dependencies_.context) {}

void pool_owner::start() {
  dependencies_.lease.on_change([this] { on_lease_gained(); }, [this] { on_lease_lost(); });
  progress_.on_newer_owner([this](std::uint64_t epoch) {
    newer_epoch_ = std::max(newer_epoch_, epoch);
    notify();
  });
  spawn(dependencies_.context, advance_loop());
}

void pool_owner::notify() {
  work_pending_ = true;
  work_.notify_all();
}

void pool_owner::note_servers(std::vector<std::string> const& ids) {
  // A node that does not own the pool may lack records of some engines, so the board is rebuilt
  // when the node takes over.
  if (state_ == owner_state::standby) board_is_stale_ = true;
  if (!board_is_stale_) changed_servers_.insert(ids.begin(), ids.end());
  notify();
}

void pool_owner::on_lease_gained() {
  state_ = owner_state::loading;
  spawn(dependencies_.context, load(++term_));
}

void pool_owner::on_lease_lost() {
  ++term_;
  log_.close();
  submitting_.clear();
  held_elsewhere_.clear();
  too_large_.clear();
  written_.notify_all();
  bool const was_loaded = state_ == owner_state::active || state_ == owner_state::suspended;
  state_ = was_loaded ? owner_state::suspended : owner_state::standby;
}

void pool_owner::drop_state() {
  state_ = owner_state::standby;
  runner_.abort_runs({});
  table_.jobs().clear();
  estimates_ = {};
  board_.update({});
  board_is_stale_ = true;
  unloaded_ended_jobs_.clear();
  requested_ended_jobs_.clear();
  listed_.notify_all();
}

awaitable<void> pool_owner::load(std::uint64_t term) {
  time_point const begin = boot_clock::now();
  bool done = co_await load_marks(term);
  while (!done && term == term_) {
    co_await wait_for(with_jitter(k_load_retry_delay));
    done = co_await load_marks(term);
  }
  if (term != term_) co_return;
  replica_.clear();
  progress_.begin_term();
  table_.reset_checkpoints();
  log_.open(ownership::owner_lease::key_of(dependencies_.lease.resource()),
            dependencies_.lease.epoch());
  orders_.begin_term();
  state_ = owner_state::active;
  auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
  log_line(log_level::info, k_part, "Jobs loaded.",
           {{"pool", dependencies_.lease.resource()},
            {"epoch", dependencies_.lease.epoch()},
            {"jobs", table_.jobs().size()},
            {"ended", unloaded_ended_jobs_.size()},
            {"after_ms", spent.count()}});
  listed_.notify_all();
  notify();
}

awaitable<bool> pool_owner::load_marks(std::uint64_t term) {
  std::string const pool = dependencies_.lease.resource();
  auto answer = co_await dependencies_.store.list(record_keys::marks_prefix(pool));
  if (!answer || term != term_) co_return false;
  stored_marks const marks = read_marks(pool, answer.value().entries);
  for (auto const& [id, end] : marks.ended) {
    // The stored data is authoritative: another owner, or a write without an answer, may have
    // listed more results.
    table_.forget(id);
    unloaded_ended_jobs_[id] = end;
  }
  for (auto const& [id, job] : table_.jobs()) job->committing = 0;
  // A write whose outcome was unknown when the lease was lost may have taken effect.
  for (std::string const& id : marks.open) table_.mark_recorded(id);
  co_return co_await load_jobs(marks.open, term);
}

awaitable<bool> pool_owner::load_jobs(std::vector<std::string> ids, std::uint64_t term) {
  auto const progress = std::make_shared<load_progress>();
  progress->remaining = ids.size();
  progress->jobs.resize(ids.size());
  for (std::size_t place = 0; place < ids.size(); ++place) {
    spawn(dependencies_.context, read_job_into(ids[place], progress, place));
  }
  while (progress->remaining > 0 && term == term_) {
    co_await loaded_.wait_until(boot_clock::now() + k_iteration_interval);
  }
  if (progress->remaining > 0 || progress->failed || term != term_) co_return false;
  // Restored in the order of acceptance, which determines the scheduling order.
  for (std::size_t place = 0; place < ids.size(); ++place) {
    restore_job(ids[place], std::move(progress->jobs[place]));
  }
  co_return true;
}

awaitable<void> pool_owner::read_job_into(std::string id, std::shared_ptr<load_progress> progress,
                                          std::size_t place) {
  auto stored = co_await read_stored(std::move(id));
  if (stored) {
    progress->jobs[place] = std::move(*stored);
  } else {
    progress->failed = true;
  }
  --progress->remaining;
  loaded_.notify_all();
}

awaitable<void> pool_owner::wait_until_ready(rpc::JobCallT const& call) {
  bool const changes = call.action == rpc::JobAction::SUBMIT || call.action == rpc::JobAction::END;
  auto const max_wait = changes ? milliseconds(call.deadline_ms) : k_max_ready_wait;
  time_point const deadline = boot_clock::now() + std::min(max_wait, k_max_ready_wait);
  while (boot_clock::now() < deadline) {
    bool const becoming_ready = state_ == owner_state::loading || state_ == owner_state::suspended;
    bool const ready = changes ? state_ == owner_state::active : can_read();
    if (ready || !becoming_ready) co_return;
    co_await listed_.wait_until(deadline);
  }
}

awaitable<std::optional<stored_job>> pool_owner::read_stored(std::string id) {
  std::string const pool = dependencies_.lease.resource();
  auto answer = co_await dependencies_.store.list(record_keys::data_prefix(pool, id));
  if (!answer) co_return std::nullopt;
  co_return read_job(pool, id, answer.value().entries);
}

void pool_owner::note_job(rpc::JobRecordT const& record) {
  orders_.note_job(record.model, record.min_version, total_tokens(record), record.items.size());
}

void pool_owner::restore_job(std::string const& id, stored_job stored) {
  if (!stored.record) {
    log_line(log_level::error, k_part, "Job record is missing or malformed.", {{"job", id}});
    return;
  }
  note_job(*stored.record);
  time_point const now = boot_clock::now();
  table_.add(std::move(*stored.record), now);
  for (rpc::ResultBatchT& batch : stored.batches) table_.restore_results(std::move(batch));
  mark_faulty_items_dead(id, now);
  progress_replica from_store;
  for (rpc::ProgressReportT& report : stored.checkpoints) from_store.take(std::move(report), now);
  std::size_t adopted = 0;
  for (progress_replica const* source : {&from_store, &replica_}) {
    for (rpc::SampleProgressT const& progress : source->job_progress(id)) {
      if (table_.adopt(progress, now)) ++adopted;
    }
  }
  if (adopted == 0) return;
  log_line(log_level::info, k_part, "Adopted progress of the previous owner.",
           {{"job", id}, {"samples", adopted}});
}

void pool_owner::mark_faulty_items_dead(std::string const& id, time_point now) {
  job_entry* const job = table_.find(id);
  if (job == nullptr) return;
  for (std::uint32_t index = 0; index < job->samples.size(); ++index) {
    sample_entry const& sample = job->samples[index];
    std::string const fault = find_fault(*sample.spec);
    if (fault.empty() || sample.state != sample_state::waiting) continue;
    log_line(log_level::error, k_part, "Item of a stored job can't be sent.",
             {{"job", id}, {"item", index}, {"fault", fault}});
    table_.mark_dead(*job, index, now);
  }
}

awaitable<void> pool_owner::advance_loop() {
  while (true) {
    // Batches changes that arrive close together.
    co_await wait_for(k_min_iteration_gap);
    if (!work_pending_) co_await work_.wait_until(boot_clock::now() + k_iteration_interval);
    work_pending_ = false;
    time_point const now = boot_clock::now();
    run_permission_.note_iteration(now, dependencies_.lease.holds(now));
    bool const other_owner_seen = state_ == owner_state::suspended && dependencies_.lease.owner() &&
                                  dependencies_.lease.owner()->node != dependencies_.node;
    bool const superseded = newer_epoch_ > dependencies_.lease.epoch() &&
                            state_ != owner_state::standby && !dependencies_.lease.holds(now);
    if (superseded) on_lease_lost();
    if (other_owner_seen || superseded) drop_state();
    offer_replica();
    dependencies_.lease.set_preferred(state_ == owner_state::standby && replica_.is_fresh(now));
    if (state_ == owner_state::active || state_ == owner_state::suspended) advance();
  }
}

void pool_owner::advance() {
  time_point const now = boot_clock::now();
  iteration_timer timer(now);
  refresh_board();
  board_.set_memory_planning(dependencies_.plans_memory());
  timer.mark("board", boot_clock::now());
  refresh_policies();
  drop_unrecorded(now);
  table_.expire(now);
  timer.mark("jobs", boot_clock::now());
  bool const may_start_runs = run_permission_.may_start_runs(now, dependencies_.lease.holds(now));
  auto const* const order = dependencies_.orders_by_due_time() ? &order_ : nullptr;
  if (may_start_runs) runner_.advance(now, order);
  timer.mark("runs", boot_clock::now());
  bool const store_unavailable =
      now > dependencies_.lease.confirmed_at() + k_store_outage_threshold;
  std::size_t const replica_count =
      store_unavailable ? progress_sender::k_replicas_in_outage : progress_sender::k_replicas;
  progress_.advance(table_, dependencies_.lease.epoch(), replica_count, now);
  timer.mark("progress", boot_clock::now());
  if (state_ == owner_state::active) update_records(timer, now);
  log_slow_iteration(timer);
}

void pool_owner::update_records(iteration_timer& timer, time_point now) {
  if (now - orders_planned_at_ >= k_orders_interval) {
    orders_planned_at_ = now;
    orders_.advance(now);
  }
  timer.mark("orders", boot_clock::now());
  commit_results(false);
  write_checkpoint(now);
  forget_expired_jobs(now);
  update_pool_mark();
  timer.mark("records", boot_clock::now());
}

void pool_owner::ensure_pool_mark() {
  if (has_pool_mark_) return;
  has_pool_mark_ = true;
  log_.write_pool_mark();
}

void pool_owner::update_pool_mark() {
  if (!table_.jobs().empty() || !unloaded_ended_jobs_.empty()) {
    ensure_pool_mark();
    return;
  }
  auto const table = dependencies_.configuration.table();
  bool const is_named = !table || table->find_service(dependencies_.lease.resource()) != nullptr;
  if (is_named || !has_pool_mark_ || !submitting_.empty() || !log_.is_idle()) return;
  has_pool_mark_ = false;
  log_.remove_pool_mark();
}

void pool_owner::log_slow_iteration(iteration_timer const& timer) {
  longest_iteration_ = std::max(longest_iteration_, timer.total());
  if (timer.total() < k_slow_iteration) return;
  auto const longest = timer.longest();
  log_line(log_level::warning, k_part, "Slow iteration of the owner loop.",
           {{"pool", dependencies_.lease.resource()},
            {"epoch", dependencies_.lease.epoch()},
            {"turn_ms", timer.total().count()},
            {"longest_part", longest.name},
            {"longest_part_ms", std::chrono::duration_cast<milliseconds>(longest.elapsed).count()},
            {"engines", board_.engines().size()},
            {"jobs", table_.jobs().size()},
            {"engines_examined", board_.examined()}});
}

void pool_owner::write_checkpoint(time_point now) {
  if (now - checkpoint_at_ < k_checkpoint_interval || !log_.is_idle()) return;
  checkpoint_at_ = now;
  for (rpc::ProgressReportT& report :
       table_.take_checkpoint(now, k_checkpoint_age, k_checkpoint_bytes)) {
    report.pool = dependencies_.lease.resource();
    report.epoch = dependencies_.lease.epoch();
    log_.write_checkpoint(report);
  }
}

void pool_owner::refresh_board() {
  if (board_is_stale_) {
    rebuild_board();
  } else {
    for (std::string const& id : changed_servers_) {
      directory::server const* const server = dependencies_.servers.find(id);
      if (server != nullptr && !server->models.empty()) {
        board_.put(*server);
      } else {
        board_.remove(id);
      }
    }
  }
  changed_servers_.clear();
  board_is_stale_ = false;
  auto const table = dependencies_.configuration.table();
  auto const* pool = table ? table->find_service(dependencies_.lease.resource()) : nullptr;
  if (pool != nullptr && pool->engines) board_.set_cache_tokens(pool->engines->cache_tokens);
}

void pool_owner::rebuild_board() {
  std::vector<directory::server const*> engines;
  for (auto const& [id, server] : dependencies_.servers.servers()) {
    if (!server.models.empty()) engines.push_back(&server);
  }
  board_.update(engines);
}

void pool_owner::refresh_policies() {
  auto const table = dependencies_.configuration.table();
  if (!table) return;
  for (auto const& [id, job] : table_.jobs()) {
    if (!job->is_open()) continue;
    auto const* route = table->match(job->record.host, job->record.path);
    if (route == nullptr) continue;
    job->policy.max_attempts = route->max_attempts;
    job->policy.priority = route->priority;
    calls::tenant const* const tenant = table->tenants().find_by_name(job->record.tenant);
    job->policy.tenant_priority = tenant == nullptr ? 0 : tenant->priority;
    job->policy.due = route->due;
    job->policy.max_queue = route->max_queue;
    job->policy.single_version = route->single_version;
  }
}

void pool_owner::commit_results(bool all) {
  time_point const now = all ? time_point::max() : boot_clock::now();
  for (auto const& [id, job] : table_.jobs()) {
    auto batch = table_.next_batch(*job, now, log_.value_limit());
    if (!batch) continue;
    std::uint64_t const term = term_;
    log_.write_results(*batch, [this, term, job_id = id](write_outcome outcome) {
      if (term != term_) return;
      job_entry* const committed = table_.find(job_id);
      if (committed == nullptr) return;
      if (outcome == write_outcome::stored) {
        table_.confirm_batch(*committed);
        log_line(log_level::info, k_part, "Results listed.",
                 {{"job", job_id},
                  {"positions", committed->listed.size()},
                  {"items", committed->samples.size()},
                  {"epoch", dependencies_.lease.epoch()}});
        listed_.notify_all();
      } else {
        table_.abandon_batch(*committed);
      }
    });
  }
}

void pool_owner::forget_expired_jobs(time_point now) {
  std::vector<std::string> old;
  for (auto const& [id, job] : table_.jobs()) {
    if (job->is_open()) continue;
    milliseconds const kept = job->ended ? dependencies_.retention : k_max_unended_time;
    if (job->recorded && now - job->accepted_at > kept) old.push_back(id);
  }
  for (std::string const& id : old) {
    table_.forget(id);
    spawn(dependencies_.context, erase(id));
  }
}

awaitable<void> pool_owner::erase(std::string id) {
  std::string const pool = dependencies_.lease.resource();
  auto answer = co_await dependencies_.store.list(record_keys::data_prefix(pool, id));
  // Records that remain are erased by a later owner.
  if (!answer || state_ != owner_state::active) co_return;
  std::vector<std::string> keys;
  keys.push_back(record_keys::accepted_mark(pool, id));
  keys.push_back(record_keys::ended_mark(pool, id));
  for (kv::key_value const& record : answer.value().entries) keys.push_back(record.key);
  log_.remove(std::move(keys));
}

awaitable<void> pool_owner::flush(time_point deadline) {
  if (state_ != owner_state::active) co_return;
  commit_results(true);
  while (state_ == owner_state::active && !log_.is_idle() && boot_clock::now() < deadline) {
    co_await wait_for(milliseconds(5));
  }
  co_await progress_.finish(table_, dependencies_.lease.epoch());
}

bool pool_owner::is_authoritative() const {
  return state_ == owner_state::active && dependencies_.lease.holds(boot_clock::now());
}

bool pool_owner::may_resend() const {
  time_point const now = boot_clock::now();
  return !run_permission_.may_have_successor(now, dependencies_.lease.holds(now));
}

bool pool_owner::can_read() const {
  return state_ == owner_state::active || state_ == owner_state::suspended;
}

}  // namespace frostline::jobs
