#include "jobs/sample_runner.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr milliseconds k_send_timeout{1000};
/// Timeout of the response head and of the first event. An engine with a free slot takes less.
constexpr milliseconds k_first_event_timeout{2500};
/// Time to read the body of a failure after its head.
constexpr milliseconds k_failed_answer_timeout{300};
/// Timeout between two events: at least this, or a multiple of the engine's usual gap.
constexpr milliseconds k_min_event_timeout{700};
constexpr double k_event_timeout_factor = 10.0;
/// Runs pause while their engine loads weights.
constexpr milliseconds k_event_timeout_during_load{3500};
constexpr milliseconds k_refused_retry_delay{80};
/// Delay after a run that ended without a failure of its engine.
constexpr milliseconds k_restart_delay{10};
constexpr milliseconds k_failed_retry_delay{100};
/// Delay after the first broken run of a sample; it doubles with each further one.
constexpr milliseconds k_first_broken_retry_delay{10};
/// Limit of that delay. Engines that crash in turn may break many runs of a sample, which must not
/// wait for long once they have room. If the sample itself crashes them, which only its submitter
/// could know, others keep most of the engines.
constexpr milliseconds k_max_broken_retry_delay{2'000};
/// Limit of runs started in one iteration, so that other work such as lease renewal is not delayed.
constexpr std::size_t k_max_starts_per_iteration = 24;
/// A sample that waits longer than this is logged, and again at this interval. Less than half of
/// the time after which a waiting sample counts as lost.
constexpr milliseconds k_long_wait{2'000};
/// Interval at which a sample that waits for long is offered to engines that it would not get
/// otherwise. Choosing an engine examines most of the pool.
constexpr milliseconds k_reconsideration_interval{250};
/// Limit of waiting samples that are examined and logged, since all may wait when no engine is
/// left.
constexpr std::uint32_t k_max_wait_reports_per_second = 32;
/// Deadline of a run, sent to the engine.
constexpr milliseconds k_run_deadline{60'000};

/// @param broken_runs number of broken runs of the sample, at least 1.
milliseconds retry_delay_after_break(std::uint32_t broken_runs) {
  milliseconds delay = k_first_broken_retry_delay;
  for (std::uint32_t run = 1; run < broken_runs && delay < k_max_broken_retry_delay; ++run) {
    delay *= 2;
  }
  return std::min(delay, k_max_broken_retry_delay);
}

std::uint64_t parse_number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string_view sample_runner::name_of(run_outcome outcome) const {
  constexpr std::string_view k_names[] = {"completed",  "refused",    "broken",      "failed",
                                          "impossible", "unusable",   "old_version", "moved",
                                          "unwanted",   "unreachable"};
  return k_names[static_cast<std::size_t>(outcome)];
}

bool sample_runner::is_break(run_outcome outcome) {
  return outcome == run_outcome::broken || outcome == run_outcome::unreachable;
}

engines::run_requirements sample_runner::make_run_need(job_entry const& job,
                                                       sample_entry const& sample) const {
  engines::run_requirements need;
  need.service = sample.service;
  need.model = job.record.model;
  need.min_version = job.record.min_version;
  bool const bound = job.policy.single_version && !sample.versions.empty();
  if (bound) need.exact_version = sample.versions.front();
  need.tokens = expected_tokens(*sample.spec);
  need.memory = expected_memory(*sample.spec);
  need.memory.hinted_events =
      dependencies_.estimates.hinted_events(need.model, need.memory.hinted_tokens);
  need.memory.events = sample.events;
  need.group = sample.spec->group;
  return need;
}

bool sample_runner::has_single_version_run(std::string const& engine) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](auto const& entry) {
    return entry.second.engine == engine && entry.second.single_version;
  });
}

void sample_runner::advance(time_point now, scheduling::sample_order const* order) {
  auto const table = dependencies_.configuration.table();
  if (!table) return;
  std::size_t started = 0;
  services_.begin_iteration(now);
  for (run_candidate const& next : dependencies_.table.runnable(now, order)) {
    if (started == k_max_starts_per_iteration) {
      // The remaining runs start in the next iteration.
      dependencies_.notify();
      break;
    }
    job_entry& job = *next.job;
    sample_entry& sample = job.samples[next.index];
    auto const* route = table->match(job.record.host, job.record.path);
    if (route == nullptr) continue;
    set_service(next, services_.choose(*route, job.record.model, sample.service), "no engine left");
    engines::run_requirements need = make_run_need(job, sample);
    engines::engine_entry const* engine = dependencies_.board.choose(need, now);
    if (engine == nullptr) engine = reconsider(next, *route, need, now);
    if (engine == nullptr) {
      note_no_engine(next, need, now);
      continue;
    }
    start(next, *engine, need);
    ++started;
  }
  move_slow_runs(now);
}

engines::engine_entry const* sample_runner::reconsider(run_candidate const& next,
                                                       calls::route const& route,
                                                       engines::run_requirements& need,
                                                       time_point now) {
  sample_entry& sample = next.job->samples[next.index];
  bool const due = now >= waiting_since(next) + k_long_wait &&
                   now - k_reconsideration_interval >= sample.reconsidered_at;
  if (!due) return nullptr;
  sample.reconsidered_at = now;
  need.may_exceed_memory = true;
  engines::engine_entry const* engine = dependencies_.board.choose(need, now);
  if (engine != nullptr) return engine;
  engine = services_.choose_other_engine(route, need);
  if (engine != nullptr) set_service(next, need.service, "waited long");
  return engine;
}

void sample_runner::set_service(run_candidate const& next, std::string const& service,
                                std::string_view cause) {
  sample_entry& sample = next.job->samples[next.index];
  if (sample.service == service) return;
  if (!sample.service.empty()) {
    log_line(log_level::info, k_part, "Sample goes to another service of its route.",
             {{"request", sample.spec->id},
              {"job", next.job->record.id},
              {"service", service},
              {"before", sample.service},
              {"cause", cause},
              {"events", sample.events}});
  }
  sample.service = service;
}

void sample_runner::start(run_candidate const& next, engines::engine_entry const& engine,
                          engines::run_requirements const& need) {
  job_entry& job = *next.job;
  std::uint32_t const index = next.index;
  sample_entry& sample = job.samples[index];
  run_key const key = dependencies_.table.start(job, index, engine.server.id, boot_clock::now());
  run_id const id = next_run_++;
  dependencies_.board.note_started(engine.server.id, need.tokens, need.group, id, need.memory);
  ++counters_.runs;
  if (next.outlook && next.outlook->slack < milliseconds(0)) ++counters_.started_without_slack;
  log_start(next, key, engine);
  spawn(dependencies_.context, run(id, key, engine.server, need.tokens, need.group));
}

void sample_runner::log_start(run_candidate const& next, run_key const& key,
                              engines::engine_entry const& engine) const {
  sample_entry const& sample = next.job->samples[next.index];
  std::vector<log_field> fields = {{"request", sample.spec->id}, {"job", key.job},
                                   {"server", engine.server.id}, {"run", key.attempt},
                                   {"events", sample.events},    {"in_flight", engine.in_flight}};
  if (next.outlook) {
    fields.emplace_back("slack_ms", next.outlook->slack.count());
    fields.emplace_back("remaining_ms", next.outlook->remaining.count());
  }
  if (dependencies_.board.plans_memory()) {
    fields.emplace_back("peak_tokens", static_cast<std::uint64_t>(engine.memory.peak()));
  }
  log_line(log_level::info, k_part, "Run started.", fields);
}

void sample_runner::note_no_engine(run_candidate const& next, engines::run_requirements const& need,
                                   time_point now) {
  if (!is_wait_due(next, now)) return;
  if (!need.exact_version && !may_report_wait(now)) return;
  engines::run_obstacle const obstacle = dependencies_.board.find_obstacle(need, now);
  bool const pool_is_full = obstacle >= engines::run_obstacle::no_slot;
  bool const has_begun = next.job->samples[next.index].runs > 0;
  // Samples that have not begun queue up under load as a matter of course.
  if (pool_is_full && !has_begun) return;
  ++counters_.long_waits[static_cast<std::size_t>(obstacle)];
  log_wait(next, to_string(obstacle), now);
  if (obstacle == engines::run_obstacle::no_version && need.exact_version)
    restart_if_version_is_gone(next, need, now);
}

void sample_runner::restart_if_version_is_gone(run_candidate const& next,
                                               engines::run_requirements need, time_point now) {
  need.exact_version.reset();
  bool const others_can_run =
      dependencies_.board.find_obstacle(need, now) > engines::run_obstacle::no_version;
  if (!others_can_run) return;
  sample_entry& sample = next.job->samples[next.index];
  log_line(log_level::info, k_part, "Text is dropped: no engine has its version any more.",
           {{"request", sample.spec->id},
            {"job", next.job->record.id},
            {"version", sample.versions.front()},
            {"events", sample.events}});
  dependencies_.table.restart(sample, now);
}

bool sample_runner::may_report_wait(time_point now) {
  if (now >= wait_reports_since_ + seconds(1)) {
    wait_reports_since_ = now;
    wait_reports_ = 0;
  }
  return ++wait_reports_ <= k_max_wait_reports_per_second;
}

bool sample_runner::is_wait_due(run_candidate const& next, time_point now) {
  sample_entry const& sample = next.job->samples[next.index];
  return now >= waiting_since(next) + k_long_wait && now >= sample.wait_logged_at + k_long_wait;
}

time_point sample_runner::waiting_since(run_candidate const& next) {
  return std::max(next.job->accepted_at, next.job->samples[next.index].waiting_since);
}

void sample_runner::log_wait(run_candidate const& next, std::string_view reason, time_point now) {
  sample_entry& sample = next.job->samples[next.index];
  sample.wait_logged_at = now;
  log_line(
      log_level::info, k_part, "Sample waits.",
      {{"request", sample.spec->id},
       {"job", next.job->record.id},
       {"reason", reason},
       {"waited_ms", std::chrono::duration_cast<milliseconds>(now - waiting_since(next)).count()},
       {"runs", sample.runs},
       {"events", sample.events}});
}

void sample_runner::move_slow_runs(time_point now) {
  open_run* best = nullptr;
  milliseconds best_gain{0};
  for (auto& [id, open] : runs_) {
    if (open.moving) continue;
    sample_entry const* sample = dependencies_.table.find_running(keys_[id]);
    engines::engine_entry const* from = dependencies_.board.find(open.engine);
    if (sample == nullptr || from == nullptr || sample->events == 0) continue;
    job_entry const* job = dependencies_.table.find(keys_[id].job);
    milliseconds const gain =
        dependencies_.board.gain_of_move(*from, make_run_need(*job, *sample), sample->events, now);
    if (gain <= best_gain) continue;
    best = &open;
    best_gain = gain;
  }
  if (best == nullptr) return;
  // At most one move per iteration, so that the next decision accounts for the run's new engine.
  best->moving = true;
  best->exchange->abort();
}

void sample_runner::abort_runs(std::string const& job) {
  for (auto& [id, open] : runs_) {
    if (job.empty() || keys_[id].job == job) open.exchange->abort();
  }
}

void sample_runner::abort_run(std::string const& job, std::uint32_t index) {
  for (auto& [id, open] : runs_) {
    if (keys_[id].job == job && keys_[id].index == index) open.exchange->abort();
  }
}

http::request sample_runner::make_request(job_entry const& job, sample_entry const& sample) const {
  http::request message(http::verb::post, sample.spec->path, 11);
  message.set(http::field::host, job.record.host);
  for (auto const& header : sample.spec->headers) message.set(header->name, header->value);
  // Tenant and credentials in an item's headers are not authenticated.
  message.erase(dependencies_.names.tenant);
  if (!job.record.tenant.empty()) {
    message.erase(http::field::authorization);
    message.set(dependencies_.names.tenant, job.record.tenant);
  }
  message.set(dependencies_.names.request_id, sample.spec->id);
  message.set(dependencies_.names.deadline, std::to_string(k_run_deadline.count()));
  message.set(dependencies_.names.expected_instance, sample.engine);
  if (sample.last_event)
    message.set(dependencies_.names.last_event_id, std::to_string(*sample.last_event));
  message.body().assign(sample.spec->body.begin(), sample.spec->body.end());
  message.prepare_payload();
  return message;
}

awaitable<void> sample_runner::run(run_id id, run_key key, directory::server engine,
                                   std::uint64_t tokens, std::string group) {
  calls::exchange exchange(dependencies_.connections, dependencies_.names, engine);
  job_entry const* const job = dependencies_.table.find(key.job);
  open_run open;
  open.exchange = &exchange;
  open.engine = engine.id;
  open.single_version = job != nullptr && job->policy.single_version;
  runs_[id] = open;
  keys_[id] = key;
  run_outcome outcome = co_await execute(id, key, exchange);
  if (is_break(outcome) && runs_[id].moving) outcome = run_outcome::moved;
  if (outcome == run_outcome::completed) exchange.finish();
  runs_.erase(id);
  keys_.erase(id);
  dependencies_.board.note_ended(engine.id, tokens, group, id);
  finish_run(key, engine.id, outcome);
  dependencies_.notify();
}

awaitable<sample_runner::run_outcome> sample_runner::execute(run_id id, run_key const& key,
                                                             calls::exchange& exchange) {
  sample_entry const* sample = dependencies_.table.find_running(key);
  if (sample == nullptr) co_return run_outcome::unwanted;
  http::request const message = make_request(*dependencies_.table.find(key.job), *sample);
  auto choice = calls::connection_choice::pooled;
  auto failure = co_await exchange.send(message, choice, boot_clock::now() + k_send_timeout);
  time_point const head_deadline = boot_clock::now() + k_first_event_timeout;
  if (failure == calls::exchange_failure::none)
    failure = co_await exchange.read_head(head_deadline);
  bool const is_stale = failure == calls::exchange_failure::stale_connection;
  if (is_stale && dependencies_.may_resend()) {
    choice = calls::connection_choice::new_connection;
    failure = co_await exchange.send(message, choice, boot_clock::now() + k_send_timeout);
    if (failure == calls::exchange_failure::none)
      failure = co_await exchange.read_head(head_deadline);
  }
  if (dependencies_.table.find_running(key) == nullptr) co_return run_outcome::unwanted;
  if (!exchange.may_have_reached_server()) co_return run_outcome::unreachable;
  if (failure != calls::exchange_failure::none) co_return run_outcome::broken;
  run_outcome const head = classify_response(exchange);
  bool const failed = head == run_outcome::failed || head == run_outcome::impossible;
  if (failed) co_return co_await confirm_failure(exchange, head);
  if (head != run_outcome::completed) co_return head;
  co_return co_await read_events(id, key, exchange);
}

awaitable<sample_runner::run_outcome> sample_runner::confirm_failure(calls::exchange& exchange,
                                                                     run_outcome outcome) const {
  time_point const deadline = boot_clock::now() + k_failed_answer_timeout;
  std::string piece;
  while (!exchange.is_whole()) {
    auto const failure = co_await exchange.read_piece(piece, deadline);
    if (failure != calls::exchange_failure::none) co_return run_outcome::broken;
  }
  co_return exchange.is_whole_own_answer() ? outcome : run_outcome::broken;
}

sample_runner::run_outcome sample_runner::classify_response(calls::exchange const& exchange) const {
  http::response const& head = exchange.head();
  unsigned const status = head.result_int();
  if (status == 200) return run_outcome::completed;
  if (status == 422) return run_outcome::impossible;
  bool const refused = !http::header(head, dependencies_.names.not_run).empty() || status == 421;
  if (refused) return run_outcome::refused;
  return status == 500 ? run_outcome::failed : run_outcome::broken;
}

awaitable<sample_runner::run_outcome> sample_runner::read_events(run_id id, run_key const& key,
                                                                 calls::exchange& exchange) {
  calls::event_splitter splitter(dependencies_.names.versions);
  std::string version_field = dependencies_.names.versions;
  std::uint64_t version = parse_number(http::header(exchange.head(), version_field));
  std::string const engine = exchange.server().id;
  time_point last_event_at = boot_clock::now();
  bool awaiting_first_event = true;
  scheduling::event_timer timer;
  std::string piece;
  while (!exchange.is_whole() || !exchange.head().body().empty()) {
    engines::engine_entry const* board = dependencies_.board.find(engine);
    double const usual = board == nullptr ? 0 : board->event_gap_ms;
    bool const loading = board != nullptr && board->load == engines::load_state::ordered;
    milliseconds timeout =
        std::max(k_min_event_timeout,
                 milliseconds(static_cast<std::int64_t>(usual * k_event_timeout_factor)));
    if (awaiting_first_event) timeout = k_first_event_timeout;
    if (loading) timeout = std::max(timeout, k_event_timeout_during_load);
    auto const failure = co_await exchange.read_piece(piece, boot_clock::now() + timeout);
    if (dependencies_.table.find_running(key) == nullptr) co_return run_outcome::unwanted;
    if (failure != calls::exchange_failure::none) co_return run_outcome::broken;
    auto events = splitter.feed(piece);
    std::erase_if(events, [](calls::stream_event const& event) { return !event.has_content; });
    time_point const now = boot_clock::now();
    // Bytes without an event, which a faulty engine may send without end, don't count as progress.
    bool const idle = events.empty() && !exchange.is_whole() && now > last_event_at + timeout;
    if (idle || splitter.is_overlong()) co_return run_outcome::broken;
    if (events.empty()) continue;
    if (!awaiting_first_event && !loading) {
      auto const gap = std::chrono::duration_cast<milliseconds>(now - last_event_at);
      dependencies_.board.note_event_gap(engine, gap / static_cast<int>(events.size()), now);
    }
    timer.note_events(events.size(), loading, now);
    awaiting_first_event = false;
    last_event_at = now;
    run_outcome const taken = take_events(key, events, version);
    if (taken != run_outcome::completed) co_return taken;
    dependencies_.board.note_success(engine);
    sample_entry const* const running = dependencies_.table.find_running(key);
    if (running != nullptr) dependencies_.board.note_progress(engine, id, running->events);
  }
  sample_entry const* sample = dependencies_.table.find_running(key);
  if (sample == nullptr) co_return run_outcome::unwanted;
  bool const complete = splitter.is_between_events() && sample->events > 0;
  if (complete) note_completed(key, *sample, timer);
  co_return complete ? run_outcome::completed : run_outcome::broken;
}

void sample_runner::note_completed(run_key const& key, sample_entry const& sample,
                                   scheduling::event_timer const& timer) {
  job_entry const* const job = dependencies_.table.find(key.job);
  if (job == nullptr) return;
  std::string const& model = job->record.model;
  dependencies_.estimates.note_completed(model, sample.spec->length_hint, sample.events);
  auto const event_ms = timer.event_ms();
  if (event_ms) dependencies_.estimates.note_event_time(model, *event_ms);
}

sample_runner::run_outcome sample_runner::take_events(
    run_key const& key, std::vector<calls::stream_event> const& events, std::uint64_t& version) {
  for (calls::stream_event const& event : events) {
    if (event.version) version = *event.version;
    sample_entry* const sample = dependencies_.table.find_running(key);
    job_entry const* const job = dependencies_.table.find(key.job);
    if (sample == nullptr || job == nullptr) return run_outcome::unwanted;
    switch (dependencies_.table.append_event(*job, *sample, event, version, boot_clock::now())) {
      case event_result::accepted:
        break;
      case event_result::too_old:
        return run_outcome::old_version;
      case event_result::mixed_versions:
        return run_outcome::unusable;
      case event_result::duplicate:
      case event_result::out_of_order:
        return run_outcome::broken;
    }
  }
  return run_outcome::completed;
}

void sample_runner::finish_run(run_key const& key, std::string const& engine, run_outcome outcome) {
  time_point const now = boot_clock::now();
  job_entry* const job = dependencies_.table.find(key.job);
  sample_entry* const sample = dependencies_.table.find_running(key);
  log_line(log_level::info, k_part, "Run ended.",
           {{"request", sample == nullptr ? "" : sample->spec->id},
            {"job", key.job},
            {"server", engine},
            {"run", key.attempt},
            {"end", name_of(outcome)},
            {"broken_runs", sample == nullptr ? 0 : sample->broken_runs},
            {"events", sample == nullptr ? 0 : sample->events}});
  if (is_break(outcome)) {
    ++counters_.broken;
    dependencies_.board.note_failure(engine, now);
  }
  if (job == nullptr || sample == nullptr) return;
  switch (outcome) {
    case run_outcome::completed:
      ++counters_.completed;
      if (dependencies_.table.complete_text(*job, key.index, now))
        scorer_.start(key.job, key.index);
      break;
    case run_outcome::refused:
      dependencies_.board.block(engine, now + k_refused_retry_delay);
      dependencies_.table.requeue(*sample, now + k_restart_delay);
      break;
    case run_outcome::moved:
      ++counters_.moved;
      dependencies_.table.requeue(*sample, now);
      break;
    case run_outcome::broken:
      ++sample->broken_runs;
      dependencies_.table.requeue(*sample, now + retry_delay_after_break(sample->broken_runs));
      break;
    case run_outcome::unreachable:
      dependencies_.table.requeue(*sample, now + k_restart_delay);
      break;
    case run_outcome::failed:
      finish_failed_run(*job, key, *sample);
      break;
    case run_outcome::impossible:
      ++counters_.dead;
      dependencies_.table.mark_dead(*job, key.index, now);
      break;
    case run_outcome::unusable:
      dependencies_.table.restart(*sample, now + k_restart_delay);
      break;
    case run_outcome::old_version: {
      dependencies_.board.set_version(engine, job->record.model, 0);
      dependencies_.table.requeue(*sample, now + k_restart_delay);
      break;
    }
    case run_outcome::unwanted:
      break;
  }
}

void sample_runner::finish_failed_run(job_entry& job, run_key const& key, sample_entry& sample) {
  time_point const now = boot_clock::now();
  if (++sample.failures >= job.policy.max_attempts) {
    ++counters_.dead;
    dependencies_.table.mark_dead(job, key.index, now);
  } else {
    dependencies_.table.requeue(sample, now + k_failed_retry_delay);
  }
}

}  // namespace frostline::jobs
