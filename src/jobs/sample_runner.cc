#include "jobs/sample_runner.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_send_timeout{1000};
/// A run begins with its first event; an engine that has room does not take that long.
constexpr milliseconds k_first_event_timeout{2500};
/// Silence between two events: at least this, or so many times the engine's usual gap.
constexpr milliseconds k_least_silence{700};
constexpr double k_silence_factor = 10.0;
/// Runs stand still while their engine loads.
constexpr milliseconds k_load_silence{3500};
constexpr milliseconds k_refused_pause{80};
constexpr milliseconds k_broken_pause{10};
constexpr milliseconds k_failed_pause{100};
/// After an engine has ended under a sample: whether a second one has, too, is known here within
/// some 30 ms (quarantine/crash_watch), and the next run waits for that.
constexpr milliseconds k_suspect_pause{40};
/// Engines that have ended under a sample when its runs are isolated from those of others like it:
/// the next one that ends would condemn all that run there. One would be too few: after the crash
/// of a full engine all its samples would wait for engines of their own.
constexpr std::size_t k_isolated_crashes = quarantine::k_crash_threshold - 1;
/// How often a sample that is held back is looked at again.
constexpr milliseconds k_held_back_pause{500};
/// Runs started in one turn of the loop: other work, such as the lease, must not wait for all.
constexpr std::size_t k_most_starts = 24;
/// Longest time that an engine may spend on a run, where its job sets none.
constexpr milliseconds k_longest_run{60'000};

std::uint64_t parse_whole(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string_view sample_runner::name_of(run_end end) const {
  constexpr std::string_view k_names[] = {"completed",   "refused",    "broken",
                                          "failed",      "impossible", "unusable",
                                          "old_version", "moved",      "unwanted"};
  return k_names[static_cast<std::size_t>(end)];
}

engines::run_need sample_runner::need_of(job const& owner, sample const& one) const {
  engines::run_need need;
  need.service = one.service;
  need.model = owner.record.model;
  need.min_version = owner.record.min_version;
  bool const bound = owner.terms.single_version && !one.versions.empty();
  if (bound) need.exact_version = one.versions.front();
  need.tokens = expected_tokens(*one.spec);
  need.group = one.spec->group;
  return need;
}

bool sample_runner::has_single_version_run(std::string const& engine) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](auto const& entry) {
    return entry.second.engine == engine && entry.second.single_version;
  });
}

bool sample_runner::must_be_isolated(job& owner, std::uint32_t index, time_point now) const {
  if (!dependencies_.quarantine.has_suspects()) return false;
  quarantine::fingerprint const& request = identify(owner, index);
  return dependencies_.quarantine.crashes_seen(request) >= k_isolated_crashes ||
         dependencies_.quarantine.check(request, now) != quarantine::verdict::allowed;
}

bool sample_runner::may_start(job& owner, std::uint32_t index, time_point now) {
  if (!dependencies_.quarantine.has_suspects()) return true;
  sample& one = owner.samples[index];
  quarantine::fingerprint const& request = identify(owner, index);
  if (trials_.erase(request) > 0) return true;
  if (dependencies_.quarantine.should_wait(request, now)) {
    one.not_before = now + k_suspect_pause;
    return false;
  }
  quarantine::verdict const verdict = dependencies_.quarantine.check(request, now);
  if (verdict == quarantine::verdict::allowed) return true;
  one.not_before = now + k_held_back_pause;
  if (verdict == quarantine::verdict::trial) {
    spawn(dependencies_.context, ask_for_trial(request));
  } else if (!one.held_back) {
    dependencies_.quarantine.note_refused(request);
    log_line(log_level::warning, k_part, "Sample is held back: engines end under it.",
             {{"request", one.spec->id},
              {"job", owner.record.id},
              {"fingerprint", request.to_string()}});
  }
  one.held_back = true;
  return false;
}

awaitable<void> sample_runner::ask_for_trial(quarantine::fingerprint request) {
  // Not within the condition: GCC 12 then loses this coroutine's own parameters.
  bool const granted = co_await dependencies_.quarantine.claim_trial(request);
  if (!granted) co_return;
  trials_.insert(request);
  dependencies_.notify();
}

void sample_runner::advance(time_point now) {
  auto const table = dependencies_.configuration.table();
  if (!table) return;
  std::size_t started = 0;
  for (run_candidate const& next : dependencies_.table.runnable(now)) {
    if (started == k_most_starts) {
      // The rest follows when the loop has turned.
      dependencies_.notify();
      break;
    }
    job& owner = *next.owner;
    sample& one = owner.samples[next.index];
    auto const* route = table->match(owner.record.host, owner.record.path);
    if (route == nullptr) continue;
    bool const still_there = std::any_of(
        route->shares.begin(), route->shares.end(),
        [&](calls::service_share const& share) { return share.service == one.service; });
    if (!still_there) one.service = shares_.pick(*route);
    bool const isolated = must_be_isolated(owner, next.index, now);
    engines::run_need need = need_of(owner, one);
    if (isolated) need.excluded = isolating_engines_;
    engines::board_engine const* engine = dependencies_.board.choose(need, now);
    if (engine == nullptr || !may_start(owner, next.index, now)) continue;
    start(owner, next.index, *engine, isolated);
    ++started;
  }
  move_slow_runs(now);
}

void sample_runner::start(job& owner, std::uint32_t index, engines::board_engine const& engine,
                          bool isolated) {
  sample& one = owner.samples[index];
  run_key const key = dependencies_.table.start(owner, index, engine.server.id, boot_clock::now());
  std::uint64_t const tokens = expected_tokens(*one.spec);
  dependencies_.board.note_started(engine.server.id, tokens, one.spec->group);
  ++counters_.runs;
  if (isolated) isolating_engines_.insert(engine.server.id);
  log_line(log_level::info, k_part, "Run started.",
           {{"request", one.spec->id},
            {"job", owner.record.id},
            {"server", engine.server.id},
            {"run", key.attempt},
            {"events", one.events},
            {"in_flight", engine.in_flight},
            {"isolated", isolated ? "yes" : "no"}});
  spawn(dependencies_.context, run(key, engine.server, tokens, one.spec->group, isolated));
}

void sample_runner::move_slow_runs(time_point now) {
  open_run* best = nullptr;
  milliseconds best_gain{0};
  for (auto& [id, open] : runs_) {
    if (open.moving) continue;
    sample const* one = dependencies_.table.running(keys_[id]);
    engines::board_engine const* from = dependencies_.board.find(open.engine);
    if (one == nullptr || from == nullptr || one->events == 0) continue;
    job const* owner = dependencies_.table.find(keys_[id].job);
    milliseconds const gain =
        dependencies_.board.gain_of_move(*from, need_of(*owner, *one), one->events, now);
    if (gain <= best_gain) continue;
    best = &open;
    best_gain = gain;
  }
  if (best == nullptr) return;
  // One at a time, so that the next decision sees the engine that takes it.
  best->moving = true;
  best->exchange->abort();
}

void sample_runner::abort_runs(std::string const& job) {
  for (auto& [id, open] : runs_) {
    if (job.empty() || keys_[id].job == job) abort(id, open);
  }
}

void sample_runner::abort_run(std::string const& job, std::uint32_t index) {
  for (auto& [id, open] : runs_) {
    if (keys_[id].job == job && keys_[id].index == index) abort(id, open);
  }
}

void sample_runner::note_end_of_run(run_id id, run_key const& key, directory::server const& engine,
                                    run_end end, bool has_broken) {
  bool const broken = end == run_end::broken && has_broken;
  bool const given_up = !broken && is_given_up(end);
  if (!broken && !given_up) return;
  open_run const& open = runs_.at(id);
  job* const owner = dependencies_.table.find(key.job);
  std::optional<quarantine::fingerprint> request = open.request;
  if (!request && owner != nullptr) request = identify(*owner, key.index);
  if (!request) return;
  if (broken) {
    dependencies_.quarantine.note_broken(engine, *request, open.sent_at);
  } else {
    dependencies_.quarantine.note_abandoned_run(engine, *request, open.sent_at);
  }
}

bool sample_runner::is_given_up(run_end end) {
  switch (end) {
    case run_end::broken:
    case run_end::unusable:
    case run_end::old_version:
    case run_end::moved:
    case run_end::unwanted:
      return true;
    case run_end::completed:
    case run_end::refused:
    case run_end::failed:
    case run_end::impossible:
      return false;
  }
  return false;
}

void sample_runner::abort(run_id id, open_run& open) {
  run_key const& key = keys_[id];
  // The job may be gone when the run has ended.
  job* const owner = dependencies_.table.find(key.job);
  if (owner != nullptr) open.request = identify(*owner, key.index);
  open.exchange->abort();
}

milliseconds sample_runner::pause_after_break(job& owner, std::uint32_t index) const {
  if (!dependencies_.quarantine.has_suspects()) return k_broken_pause;
  bool const suspect = dependencies_.quarantine.crashes_seen(identify(owner, index)) > 0;
  return suspect ? k_suspect_pause : k_broken_pause;
}

http::request sample_runner::make_request(job const& owner, sample const& one) const {
  http::request message(http::verb::post, one.spec->path, 11);
  message.set(http::field::host, owner.record.host);
  for (auto const& header : one.spec->headers) message.set(header->name, header->value);
  // What an item says of its tenant or key proves nothing.
  message.erase(dependencies_.names.tenant);
  if (!owner.record.tenant.empty()) {
    message.erase(http::field::authorization);
    message.set(dependencies_.names.tenant, owner.record.tenant);
  }
  message.set(dependencies_.names.request_id, one.spec->id);
  message.set(dependencies_.names.deadline, std::to_string(k_longest_run.count()));
  message.set(dependencies_.names.expected_instance, one.engine);
  if (one.last_event)
    message.set(dependencies_.names.last_event_id, std::to_string(*one.last_event));
  message.body().assign(one.spec->body.begin(), one.spec->body.end());
  message.prepare_payload();
  return message;
}

awaitable<void> sample_runner::run(run_key key, directory::server engine, std::uint64_t tokens,
                                   std::string group, bool isolated) {
  run_id const id = next_run_++;
  calls::exchange with(dependencies_.connections, dependencies_.names, engine);
  job const* const owner = dependencies_.table.find(key.job);
  open_run open;
  open.exchange = &with;
  open.engine = engine.id;
  open.sent_at = boot_clock::now();
  open.single_version = owner != nullptr && owner->terms.single_version;
  runs_[id] = open;
  keys_[id] = key;
  run_end end = co_await drive(key, with);
  if (end == run_end::broken && runs_[id].moving) end = run_end::moved;
  if (end == run_end::completed) with.finish();
  if (with.may_have_reached_server()) note_end_of_run(id, key, engine, end, with.has_broken());
  runs_.erase(id);
  keys_.erase(id);
  if (isolated) isolating_engines_.erase(engine.id);
  dependencies_.board.note_ended(engine.id, tokens, group);
  conclude(key, engine.id, end);
  dependencies_.notify();
}

awaitable<sample_runner::run_end> sample_runner::drive(run_key const& key, calls::exchange& with) {
  sample const* one = dependencies_.table.running(key);
  if (one == nullptr) co_return run_end::unwanted;
  http::request const message = make_request(*dependencies_.table.find(key.job), *one);
  auto choice = calls::connection_choice::kept;
  auto failure = co_await with.send(message, choice, boot_clock::now() + k_send_timeout);
  time_point const first = boot_clock::now() + k_first_event_timeout;
  if (failure == calls::exchange_failure::none) failure = co_await with.read_head(first);
  bool const is_stale = failure == calls::exchange_failure::stale_connection;
  if (is_stale && dependencies_.may_send_again()) {
    choice = calls::connection_choice::fresh;
    failure = co_await with.send(message, choice, boot_clock::now() + k_send_timeout);
    if (failure == calls::exchange_failure::none) failure = co_await with.read_head(first);
  }
  if (dependencies_.table.running(key) == nullptr) co_return run_end::unwanted;
  if (failure != calls::exchange_failure::none) co_return run_end::broken;
  run_end const head = take_head(with);
  if (head != run_end::completed) co_return head;
  co_return co_await read_events(key, with);
}

sample_runner::run_end sample_runner::take_head(calls::exchange const& with) const {
  http::response const& head = with.head();
  unsigned const status = head.result_int();
  if (status == 200) return run_end::completed;
  if (status == 422) return run_end::impossible;
  bool const refused = !http::header(head, dependencies_.names.not_run).empty() || status == 421;
  if (refused) return run_end::refused;
  return status == 500 ? run_end::failed : run_end::broken;
}

awaitable<sample_runner::run_end> sample_runner::read_events(run_key const& key,
                                                             calls::exchange& with) {
  calls::event_splitter splitter(dependencies_.names.versions);
  std::string version_field = dependencies_.names.versions;
  std::uint64_t version = parse_whole(http::header(with.head(), version_field));
  std::string const engine = with.server().id;
  time_point last = boot_clock::now();
  bool first = true;
  std::string piece;
  while (!with.is_whole() || !with.head().body().empty()) {
    engines::board_engine const* board = dependencies_.board.find(engine);
    double const usual = board == nullptr ? 0 : board->event_gap_ms;
    bool const loading = board != nullptr && board->load == engines::load_state::ordered;
    milliseconds silence = std::max(
        k_least_silence, milliseconds(static_cast<std::int64_t>(usual * k_silence_factor)));
    if (first) silence = k_first_event_timeout;
    if (loading) silence = std::max(silence, k_load_silence);
    auto const failure = co_await with.read_piece(piece, boot_clock::now() + silence);
    if (dependencies_.table.running(key) == nullptr) co_return run_end::unwanted;
    if (failure != calls::exchange_failure::none) co_return run_end::broken;
    auto const events = splitter.feed(piece);
    if (events.empty()) continue;
    time_point const now = boot_clock::now();
    if (!first && !loading) {
      auto const gap = std::chrono::duration_cast<milliseconds>(now - last);
      dependencies_.board.note_event_gap(engine, gap / static_cast<int>(events.size()), now);
    }
    first = false;
    last = now;
    run_end const taken = take_events(key, events, version);
    if (taken != run_end::completed) co_return taken;
    dependencies_.board.note_success(engine);
  }
  sample const* one = dependencies_.table.running(key);
  if (one == nullptr) co_return run_end::unwanted;
  bool const whole = splitter.is_between_events() && one->events > 0;
  co_return whole ? run_end::completed : run_end::broken;
}

sample_runner::run_end sample_runner::take_events(run_key const& key,
                                                  std::vector<calls::stream_event> const& events,
                                                  std::uint64_t& version) {
  for (calls::stream_event const& event : events) {
    if (event.version) version = *event.version;
    sample* const one = dependencies_.table.running(key);
    job const* const owner = dependencies_.table.find(key.job);
    if (one == nullptr || owner == nullptr) return run_end::unwanted;
    switch (dependencies_.table.take_event(*owner, *one, event, version, boot_clock::now())) {
      case event_result::taken:
        break;
      case event_result::too_old:
        return run_end::old_version;
      case event_result::mixed_versions:
        return run_end::unusable;
      case event_result::repeated:
      case event_result::out_of_order:
        return run_end::broken;
    }
  }
  return run_end::completed;
}

void sample_runner::conclude(run_key const& key, std::string const& engine, run_end end) {
  time_point const now = boot_clock::now();
  job* const owner = dependencies_.table.find(key.job);
  sample* const one = dependencies_.table.running(key);
  bool const tells = owner != nullptr && end == run_end::broken;
  log_line(log_level::info, k_part, "Run ended.",
           {{"request", owner == nullptr ? "" : owner->samples[key.index].spec->id},
            {"job", key.job},
            {"server", engine},
            {"run", key.attempt},
            {"end", name_of(end)},
            {"fingerprint", tells ? identify(*owner, key.index).to_string() : std::string()},
            {"events", one == nullptr ? 0 : one->events}});
  if (end == run_end::broken) {
    ++counters_.broken;
    dependencies_.board.note_failure(engine, now);
  }
  if (owner == nullptr || one == nullptr) return;
  switch (end) {
    case run_end::completed:
      ++counters_.completed;
      if (dependencies_.quarantine.has_suspects()) {
        dependencies_.quarantine.note_answer(identify(*owner, key.index));
      }
      if (dependencies_.table.complete_text(*owner, key.index, now))
        scorer_.start(key.job, key.index);
      break;
    case run_end::refused:
      dependencies_.board.block(engine, now + k_refused_pause);
      dependencies_.table.requeue(*one, now + k_broken_pause);
      break;
    case run_end::moved:
      ++counters_.moved;
      dependencies_.table.requeue(*one, now);
      break;
    case run_end::broken:
      dependencies_.table.requeue(*one, now + pause_after_break(*owner, key.index));
      break;
    case run_end::failed:
      conclude_failure(*owner, key, *one);
      break;
    case run_end::impossible:
      ++counters_.dead;
      dependencies_.table.give_up(*owner, key.index, now);
      break;
    case run_end::unusable:
      dependencies_.table.restart(*one, now + k_broken_pause);
      break;
    case run_end::old_version: {
      dependencies_.board.set_version(engine, owner->record.model, 0);
      dependencies_.table.requeue(*one, now + k_broken_pause);
      break;
    }
    case run_end::unwanted:
      break;
  }
}

void sample_runner::conclude_failure(job& owner, run_key const& key, sample& one) {
  time_point const now = boot_clock::now();
  if (++one.failures >= owner.terms.max_attempts) {
    ++counters_.dead;
    dependencies_.table.give_up(owner, key.index, now);
  } else {
    dependencies_.table.requeue(one, now + k_failed_pause);
  }
}

}  // namespace frostline::jobs
