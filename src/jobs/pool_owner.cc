#include "jobs/pool_owner.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_tick{100};
constexpr milliseconds k_least_pause{4};
constexpr milliseconds k_orders_interval{40};
/// A turn that takes a fifteenth of the lease's time is worth a line.
constexpr milliseconds k_long_turn{100};
constexpr milliseconds k_load_pause{100};
/// The store counts as silent after that long: it answers renewals of a lease every 400 ms, and one
/// without an answer is sent again after 150 ms.
constexpr milliseconds k_store_silence{700};
/// Checkpoints are this far apart and hold runs of at least this age: most runs are shorter.
constexpr milliseconds k_checkpoint_interval{1000};
constexpr milliseconds k_checkpoint_age{1500};
/// A checkpoint's texts; a record has room for one text more.
constexpr std::size_t k_checkpoint_bytes = 256 * 1024;
/// Calls wait that long for an owner that is about to be ready, so that they are not sent again and
/// again.
constexpr milliseconds k_longest_hold{400};

engines::order_authority make_authority(pool_owner_dependencies const& dependencies,
                                        sample_runner const& runner) {
  engines::order_authority authority;
  authority.holder = dependencies.node;
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
      runner_(runner_dependencies{dependencies_.context, dependencies_.configuration,
                                  dependencies_.servers, dependencies_.connections,
                                  dependencies_.forwarder, dependencies_.names, board_,
                                  dependencies_.quarantine, table_,
                                  [this] { return may_send_again(); }, [this] { notify(); }}),
      progress_(dependencies_.context, dependencies_.transport, dependencies_.lease.resource(),
                dependencies_.zone),
      work_(dependencies_.context),
      loaded_(dependencies_.context),
      listed_(dependencies_.context),
      written_(dependencies_.context) {}

void pool_owner::start() {
  dependencies_.lease.on_change([this] { gained(); }, [this] { lost(); });
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
  // Nodes that don't own the pool hold a part of its engines at most.
  if (state_ == owner_state::standby) board_is_old_ = true;
  if (!board_is_old_) changed_servers_.insert(ids.begin(), ids.end());
  notify();
}

void pool_owner::gained() {
  state_ = owner_state::loading;
  spawn(dependencies_.context, load(++term_));
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
  board_.update({});
  board_is_old_ = true;
  ended_unread_.clear();
  ended_wanted_.clear();
  listed_.notify_all();
}

awaitable<void> pool_owner::load(std::uint64_t term) {
  time_point const begin = boot_clock::now();
  bool done = co_await load_marks(term);
  while (!done && term == term_) {
    co_await wait_for(with_jitter(k_load_pause));
    done = co_await load_marks(term);
  }
  if (term != term_) co_return;
  replica_.clear();
  progress_.begin_term();
  table_.forget_checkpoints();
  log_.open(ownership::owner_lease::key_of(dependencies_.lease.resource()),
            dependencies_.lease.epoch());
  orders_.begin_term();
  state_ = owner_state::active;
  auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
  log_line(log_level::info, k_part, "Jobs loaded.",
           {{"pool", dependencies_.lease.resource()},
            {"epoch", dependencies_.lease.epoch()},
            {"jobs", table_.jobs().size()},
            {"ended", ended_unread_.size()},
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
    // What is stored counts: another owner, or a write without an answer, may have listed more.
    table_.forget(id);
    ended_unread_[id] = end;
  }
  for (auto const& [id, held] : table_.jobs()) held->committing = 0;
  // A write whose outcome was not known when the lease was lost may have been done.
  for (std::string const& id : marks.open) table_.note_recorded(id);
  co_return co_await load_all(marks.open, term);
}

awaitable<bool> pool_owner::load_all(std::vector<std::string> ids, std::uint64_t term) {
  auto const progress = std::make_shared<load_progress>();
  progress->left = ids.size();
  progress->jobs.resize(ids.size());
  for (std::size_t place = 0; place < ids.size(); ++place) {
    spawn(dependencies_.context, read_into(ids[place], progress, place));
  }
  while (progress->left > 0 && term == term_) {
    co_await loaded_.wait_until(boot_clock::now() + k_tick);
  }
  if (progress->left > 0 || progress->failed || term != term_) co_return false;
  // Taken in the order of their acceptance, which is that of their age.
  for (std::size_t place = 0; place < ids.size(); ++place) {
    take_stored(ids[place], std::move(progress->jobs[place]));
  }
  co_return true;
}

awaitable<void> pool_owner::read_into(std::string id, std::shared_ptr<load_progress> progress,
                                      std::size_t place) {
  auto stored = co_await read_stored(std::move(id));
  if (stored) {
    progress->jobs[place] = std::move(*stored);
  } else {
    progress->failed = true;
  }
  --progress->left;
  loaded_.notify_all();
}

awaitable<void> pool_owner::wait_until_ready(rpc::JobCallT const& call) {
  bool const changes = call.action == rpc::JobAction::SUBMIT || call.action == rpc::JobAction::END;
  auto const patience = changes ? milliseconds(call.deadline_ms) : k_longest_hold;
  time_point const limit = boot_clock::now() + std::min(patience, k_longest_hold);
  while (boot_clock::now() < limit) {
    bool const coming = state_ == owner_state::loading || state_ == owner_state::suspended;
    bool const ready = changes ? state_ == owner_state::active : can_read();
    if (ready || !coming) co_return;
    co_await listed_.wait_until(limit);
  }
}

awaitable<std::optional<stored_job>> pool_owner::read_stored(std::string id) {
  std::string const pool = dependencies_.lease.resource();
  auto answer = co_await dependencies_.store.list(record_keys::data_prefix(pool, id));
  if (!answer) co_return std::nullopt;
  co_return read_job(pool, id, answer.value().entries);
}

void pool_owner::note_job(rpc::JobRecordT const& record) {
  orders_.note_job(record.model, record.min_version, tokens_of(record), record.items.size());
}

void pool_owner::take_stored(std::string const& id, stored_job stored) {
  if (!stored.record) {
    log_line(log_level::error, k_part, "A job's record can't be read.", {{"job", id}});
    return;
  }
  note_job(*stored.record);
  time_point const now = boot_clock::now();
  table_.add(std::move(*stored.record), now);
  for (rpc::ResultBatchT& batch : stored.batches) table_.restore(std::move(batch));
  progress_replica from_store;
  for (rpc::ProgressReportT& report : stored.checkpoints) from_store.take(std::move(report), now);
  std::size_t adopted = 0;
  for (progress_replica const* held : {&from_store, &replica_}) {
    for (rpc::SampleProgressT const& progress : held->of_job(id)) {
      if (table_.adopt(progress, now)) ++adopted;
    }
  }
  if (adopted == 0) return;
  log_line(log_level::info, k_part, "Progress of the former owner taken over.",
           {{"job", id}, {"samples", adopted}});
}

awaitable<void> pool_owner::advance_loop() {
  while (true) {
    // Changes that come close together are acted on together.
    co_await wait_for(k_least_pause);
    if (!work_pending_) co_await work_.wait_until(boot_clock::now() + k_tick);
    work_pending_ = false;
    time_point const now = boot_clock::now();
    permission_.note_turn(now, dependencies_.lease.holds(now));
    bool const seen = state_ == owner_state::suspended && dependencies_.lease.owner() &&
                      dependencies_.lease.owner()->node != dependencies_.node;
    bool const told = newer_epoch_ > dependencies_.lease.epoch() &&
                      state_ != owner_state::standby && !dependencies_.lease.holds(now);
    if (told) lost();
    if (seen || told) drop_everything();
    offer_replica();
    dependencies_.lease.set_preferred(state_ == owner_state::standby && replica_.is_fresh(now));
    if (state_ == owner_state::active || state_ == owner_state::suspended) advance();
  }
}

void pool_owner::advance() {
  time_point const now = boot_clock::now();
  turn_clock clock(now);
  refresh_board();
  clock.mark("board", boot_clock::now());
  refresh_terms();
  drop_unrecorded(now);
  table_.expire(now);
  clock.mark("jobs", boot_clock::now());
  bool const may_begin = permission_.may_begin_runs(now, dependencies_.lease.holds(now));
  if (may_begin) runner_.advance(now);
  clock.mark("runs", boot_clock::now());
  bool const store_is_silent = now > dependencies_.lease.confirmed_at() + k_store_silence;
  std::size_t const copies =
      store_is_silent ? progress_sender::k_copies_in_outage : progress_sender::k_copies;
  progress_.advance(table_, dependencies_.lease.epoch(), copies, now);
  clock.mark("progress", boot_clock::now());
  if (state_ == owner_state::active) keep_records(clock, now);
  note_turn(clock);
}

void pool_owner::keep_records(turn_clock& clock, time_point now) {
  if (now - orders_planned_at_ >= k_orders_interval) {
    orders_planned_at_ = now;
    orders_.advance(now);
  }
  clock.mark("orders", boot_clock::now());
  commit_results(false);
  write_checkpoint(now);
  forget_old(now);
  clock.mark("records", boot_clock::now());
}

void pool_owner::note_turn(turn_clock const& clock) {
  longest_turn_ = std::max(longest_turn_, clock.total());
  if (clock.total() < k_long_turn) return;
  auto const longest = clock.longest();
  log_line(log_level::warning, k_part, "A turn of the owner's loop took long.",
           {{"pool", dependencies_.lease.resource()},
            {"epoch", dependencies_.lease.epoch()},
            {"turn_ms", clock.total().count()},
            {"longest_part", longest.name},
            {"longest_part_ms", std::chrono::duration_cast<milliseconds>(longest.time).count()},
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
  if (board_is_old_) {
    read_all_servers();
  } else {
    for (std::string const& id : changed_servers_) {
      directory::server const* const one = dependencies_.servers.find(id);
      if (one != nullptr && !one->models.empty()) {
        board_.put(*one);
      } else {
        board_.remove(id);
      }
    }
  }
  changed_servers_.clear();
  board_is_old_ = false;
  auto const table = dependencies_.configuration.table();
  auto const* pool = table ? table->find_service(dependencies_.lease.resource()) : nullptr;
  if (pool != nullptr && pool->engines) board_.set_cache_tokens(pool->engines->cache_tokens);
}

void pool_owner::read_all_servers() {
  std::vector<directory::server const*> engines;
  for (auto const& [id, one] : dependencies_.servers.servers()) {
    if (!one.models.empty()) engines.push_back(&one);
  }
  board_.update(engines);
}

void pool_owner::refresh_terms() {
  auto const table = dependencies_.configuration.table();
  if (!table) return;
  for (auto const& [id, held] : table_.jobs()) {
    if (!held->is_open()) continue;
    auto const* route = table->match(held->record.host, held->record.path);
    if (route == nullptr) continue;
    held->terms.max_attempts = route->max_attempts;
    held->terms.priority = route->priority;
    calls::tenant const* const who = table->tenants().find_by_name(held->record.tenant);
    held->terms.tenant_priority = who == nullptr ? 0 : who->priority;
    held->terms.due = route->due;
    held->terms.max_queue = route->max_queue;
    held->terms.single_version = route->single_version;
  }
}

void pool_owner::commit_results(bool all) {
  time_point const now = all ? time_point::max() : boot_clock::now();
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
                  {"epoch", dependencies_.lease.epoch()}});
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
    if (held->recorded && !held->is_open() && now - held->accepted_at > dependencies_.retention)
      old.push_back(id);
  }
  for (std::string const& id : old) {
    table_.forget(id);
    spawn(dependencies_.context, erase(id));
  }
}

awaitable<void> pool_owner::erase(std::string id) {
  std::string const pool = dependencies_.lease.resource();
  auto answer = co_await dependencies_.store.list(record_keys::data_prefix(pool, id));
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
  while (state_ == owner_state::active && !log_.is_idle() && boot_clock::now() < deadline) {
    co_await wait_for(milliseconds(5));
  }
  co_await progress_.finish(table_, dependencies_.lease.epoch());
}

bool pool_owner::is_certain() const {
  return state_ == owner_state::active && dependencies_.lease.holds(boot_clock::now());
}

bool pool_owner::may_send_again() const {
  time_point const now = boot_clock::now();
  return !permission_.may_be_succeeded(now, dependencies_.lease.holds(now));
}

bool pool_owner::can_read() const {
  return state_ == owner_state::active || state_ == owner_state::suspended;
}

}  // namespace frostline::jobs
