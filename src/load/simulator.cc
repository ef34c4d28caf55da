#include "load/simulator.h"

#include <algorithm>
#include <list>
#include <map>
#include <queue>
#include <random>

#include "delivery/ledger.h"
#include "load/callers.h"
#include "rollout/placement.h"
#include "rollout/sample_table.h"
#include "standin/engine_model.h"

namespace frostline::load {
namespace {

using rollout::sample_key;
using std::chrono::microseconds;

/// A sample that an engine is generating.
struct running_sample {
  rollout::work_item work;
  engines::span_list spans;
  std::uint32_t position = 0;
  std::uint32_t length = 0;
  std::uint32_t prefill_steps = 0;
};

struct simulated_engine {
  explicit simulated_engine(std::uint32_t cache_tokens) : cache(cache_tokens) {}

  std::uint64_t version = 0;
  std::uint64_t target_version = 0;
  time_point paused_until = time_point::min();
  bool stepping = false;
  bool loading = false;
  std::list<running_sample> running;
  standin::prefix_cache cache;
};

enum class event_kind { step, loaded, crash, restarted, sample_finished, trained };

struct event {
  time_point at;
  /// Orders simultaneous events by their creation, for reproducible runs.
  std::uint64_t number = 0;
  event_kind kind = event_kind::step;
  std::uint32_t engine = 0;
  std::uint64_t finished = 0;

  bool operator>(event const& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

class simulation {
 public:
  explicit simulation(simulation_options const& options)
      : options_(options),
        random_(options.seed),
        table_("simulated"),
        ledger_(0, 1),
        placement_(rollout::make_placement_policy(options.placement, options.seed)) {
    for (std::uint32_t index = 0; index < options.engines; ++index) {
      engines_.emplace_back(options.cache_tokens);
      rollout::engine_view view;
      view.id = "engine-" + std::to_string(index);
      view.slots = options.slots;
      views_.push_back(view);
      schedule_crash(index);
    }
  }

  simulation_report run() {
    publish(1);
    for (std::uint32_t step = 0; step <= options_.steps_ahead; ++step) submit(step);
    waiting_since_ = now_;
    dispatch();
    while (!done_ && !events_.empty() && now_ - start_ < options_.limit) {
      event const next = events_.top();
      events_.pop();
      now_ = next.at;
      handle(next);
    }
    return report();
  }

 private:
  std::uint32_t groups_per_step() const { return options_.samples_per_step / options_.group_size; }

  void schedule(event_kind kind, time_point at, std::uint32_t engine = 0,
                std::uint64_t finished = 0) {
    events_.push({at, next_number_++, kind, engine, finished});
  }

  void schedule_crash(std::uint32_t engine) {
    if (options_.mean_time_between_crashes.count() == 0) return;
    std::exponential_distribution<double> gap(
        1.0 / static_cast<double>(options_.mean_time_between_crashes.count()));
    auto const after = milliseconds(static_cast<std::int64_t>(gap(random_)));
    schedule(event_kind::crash, now_ + after, engine);
  }

  void submit(std::uint32_t step) {
    if (step >= options_.steps) return;
    std::uint64_t const first = static_cast<std::uint64_t>(step) * groups_per_step();
    for (std::uint64_t group = first; group < first + groups_per_step(); ++group) {
      std::string const prompt = std::to_string(options_.seed) + "/" + std::to_string(group);
      table_.add_group({group, prompt, options_.group_size, options_.max_tokens},
                       ledger_.delivered());
    }
  }

  void publish(std::uint64_t version) {
    published_ = version;
    for (std::uint32_t index = 0; index < engines_.size(); ++index) {
      engines_[index].target_version = version;
      bool const starts_now =
          options_.order == swap_order::all_at_once || index == 0 || version == 1;
      if (starts_now) begin_load(index);
    }
    if (options_.cancel_stale_runs) cancel_stale_runs();
    table_.drop_stale(published_, options_.freshness_bound);
  }

  void begin_load(std::uint32_t index) {
    simulated_engine& engine = engines_[index];
    if (engine.loading || engine.version == engine.target_version) return;
    engine.loading = true;
    engine.paused_until = now_ + options_.load_time;
    schedule(event_kind::loaded, engine.paused_until, index);
  }

  void cancel_stale_runs() {
    for (std::uint32_t index = 0; index < engines_.size(); ++index) {
      auto& running = engines_[index].running;
      for (auto at = running.begin(); at != running.end();) {
        bool const within_bound =
            at->spans.empty() ||
            engines::is_within_bound(at->spans, published_, options_.freshness_bound);
        if (within_bound) {
          ++at;
          continue;
        }
        table_.restart(at->work.key, at->work.attempt);
        --views_[index].in_flight;
        at = running.erase(at);
      }
    }
  }

  void handle(event const& next) {
    switch (next.kind) {
      case event_kind::step:
        step(next.engine);
        break;
      case event_kind::loaded:
        loaded(next.engine);
        break;
      case event_kind::crash:
        crash(next.engine);
        break;
      case event_kind::restarted:
        views_[next.engine].slots = options_.slots;
        engines_[next.engine].target_version = published_;
        begin_load(next.engine);
        schedule_crash(next.engine);
        break;
      case event_kind::sample_finished:
        finish(next.finished);
        break;
      case event_kind::trained:
        trained();
        break;
    }
    dispatch();
  }

  void loaded(std::uint32_t index) {
    simulated_engine& engine = engines_[index];
    engine.loading = false;
    engine.version = engine.target_version;
    engine.target_version = published_;
    begin_load(index);
    bool const rolls = options_.order == swap_order::rolling;
    if (rolls && index + 1 < engines_.size()) begin_load(index + 1);
  }

  void crash(std::uint32_t index) {
    simulated_engine& engine = engines_[index];
    for (running_sample& sample : engine.running) {
      rollout::partial_run partial{"", sample.spans};
      bool const usable =
          engines::is_within_bound(sample.spans, published_, options_.freshness_bound);
      if (usable || sample.spans.empty()) {
        table_.interrupt(sample.work.key, sample.work.attempt, now_, std::move(partial));
      } else {
        table_.restart(sample.work.key, sample.work.attempt);
      }
    }
    engine.running.clear();
    engine.cache = standin::prefix_cache(options_.cache_tokens);
    views_[index].in_flight = 0;
    views_[index].slots = 0;
    schedule(event_kind::restarted, now_ + options_.restart_time, index);
  }

  void dispatch() {
    while (auto const group = table_.peek_group(now_)) {
      auto const chosen = rollout::place(*placement_, views_, {*group, ""}, now_);
      if (!chosen) return;
      begin_run(static_cast<std::uint32_t>(*chosen), *table_.take_next(now_));
    }
  }

  void begin_run(std::uint32_t index, rollout::work_item work) {
    simulated_engine& engine = engines_[index];
    running_sample sample;
    sample.spans = work.resume.spans;
    sample.position = engines::token_count(sample.spans);
    sample.length = standin::sample_length(work.group.prompt, work.key.index, work.group.max_tokens,
                                           options_.seed);
    bool const cached = engine.cache.touch(work.group.prompt, options_.prompt_tokens);
    ++(cached ? cache_hits_ : cache_misses_);
    sample.prefill_steps = cached ? 0 : options_.prompt_tokens / options_.prefill_tokens_per_step;
    sample.work = std::move(work);
    engine.running.push_back(std::move(sample));
    ++views_[index].in_flight;
    schedule_step(index);
  }

  void schedule_step(std::uint32_t index) {
    simulated_engine& engine = engines_[index];
    if (engine.stepping || engine.running.empty()) return;
    engine.stepping = true;
    auto const load = static_cast<std::int64_t>(engine.running.size());
    microseconds const duration = options_.step + options_.step_per_sample * load;
    schedule(event_kind::step, std::max(now_, engine.paused_until) + duration, index);
  }

  void step(std::uint32_t index) {
    simulated_engine& engine = engines_[index];
    engine.stepping = false;
    if (now_ < engine.paused_until) {
      schedule_step(index);
      return;
    }
    for (auto at = engine.running.begin(); at != engine.running.end();) {
      bool const ended = generate(engine, *at);
      if (!ended) {
        ++at;
        continue;
      }
      schedule_finish(*at);
      --views_[index].in_flight;
      at = engine.running.erase(at);
    }
    schedule_step(index);
  }

  /// @return true if the sample is complete.
  bool generate(simulated_engine const& engine, running_sample& sample) {
    if (sample.prefill_steps > 0) {
      --sample.prefill_steps;
      return false;
    }
    if (sample.position < sample.length) {
      engines::append_span(sample.spans, engine.version, 1);
      ++sample.position;
      ++tokens_generated_;
    }
    return sample.position >= sample.length;
  }

  void schedule_finish(running_sample const& sample) {
    rollout::finished_sample finished;
    finished.key = sample.work.key;
    finished.attempt = sample.work.attempt;
    finished.spans = sample.spans;
    std::uint64_t const number = next_finished_++;
    finishing_[number] = std::move(finished);
    schedule(event_kind::sample_finished, now_ + options_.finish_time, 0, number);
  }

  void finish(std::uint64_t number) {
    rollout::finished_sample sample = std::move(finishing_.at(number));
    finishing_.erase(number);
    if (engines::is_within_bound(sample.spans, published_, options_.freshness_bound)) {
      table_.finish(std::move(sample));
    } else {
      table_.restart(sample.key, sample.attempt);
    }
    deliver();
  }

  void deliver() {
    while (true) {
      std::uint32_t const finished = table_.counts().finished;
      bool const ready = finished >= options_.batch_size || table_.nothing_outstanding();
      if (finished == 0 || !ready) return;
      std::vector<delivery::manifest_entry> entries;
      std::vector<sample_key> keys;
      for (auto const* sample : table_.finished(options_.batch_size)) {
        entries.push_back({sample->key, sample->attempt, sample->spans, false,
                           table_.group_size(sample->key.group)});
        keys.push_back(sample->key);
        record_delivery(*sample);
      }
      ledger_.adopt(ledger_.plan_next(entries, published_, "identity"), ledger_.revision() + 1);
      table_.mark_delivered(keys);
      check_step();
    }
  }

  void record_delivery(rollout::finished_sample const& sample) {
    std::uint64_t const oldest = engines::oldest_version(sample.spans);
    staleness_.push_back(static_cast<double>(published_ - oldest));
    tokens_delivered_ += engines::token_count(sample.spans);
    ++received_[sample.key.group / groups_per_step()];
  }

  void check_step() {
    bool const complete = received_[step_] >= groups_per_step() * options_.group_size;
    if (training_ || !complete) return;
    std::chrono::duration<double> const waited = now_ - waiting_since_;
    idle_seconds_ += waited.count();
    training_ = true;
    schedule(event_kind::trained, now_ + options_.train_time);
  }

  void trained() {
    training_ = false;
    ++step_;
    if (step_ == options_.steps) {
      done_ = true;
      return;
    }
    publish(step_ + 1);
    submit(static_cast<std::uint32_t>(step_) + options_.steps_ahead);
    waiting_since_ = now_;
    check_step();
    deliver();
  }

  simulation_report report() const {
    simulation_report result;
    std::chrono::duration<double> const total = now_ - start_;
    result.finished = done_;
    result.total_seconds = total.count();
    result.idle_seconds = idle_seconds_;
    result.idle_share = result.total_seconds > 0 ? idle_seconds_ / result.total_seconds : 0;
    result.samples = staleness_.size();
    double sum = 0;
    for (double staleness : staleness_) sum += staleness;
    result.staleness_mean = staleness_.empty() ? 0 : sum / static_cast<double>(staleness_.size());
    result.staleness_p99 = percentile(staleness_, 0.99);
    result.tokens_delivered = tokens_delivered_;
    result.tokens_generated = tokens_generated_;
    if (tokens_generated_ > 0) {
      result.wasted_share =
          1 - static_cast<double>(tokens_delivered_) / static_cast<double>(tokens_generated_);
    }
    double const prompts = static_cast<double>(cache_hits_ + cache_misses_);
    result.cache_hit_share = prompts > 0 ? static_cast<double>(cache_hits_) / prompts : 0;
    return result;
  }

  simulation_options options_;
  std::mt19937_64 random_;
  rollout::sample_table table_;
  delivery::ledger ledger_;
  std::unique_ptr<rollout::placement_policy> placement_;
  std::vector<simulated_engine> engines_;
  std::vector<rollout::engine_view> views_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::uint64_t next_number_ = 0;
  time_point const start_ = time_point() + seconds(1);
  time_point now_ = start_;
  std::uint64_t published_ = 0;
  std::uint64_t step_ = 0;
  bool training_ = false;
  bool done_ = false;
  time_point waiting_since_;
  std::map<std::uint64_t, std::uint32_t> received_;
  std::map<std::uint64_t, rollout::finished_sample> finishing_;
  std::uint64_t next_finished_ = 0;
  double idle_seconds_ = 0;
  std::vector<double> staleness_;
  std::uint64_t tokens_delivered_ = 0;
  std::uint64_t tokens_generated_ = 0;
  std::uint64_t cache_hits_ = 0;
  std::uint64_t cache_misses_ = 0;
};

}  // namespace

simulation_report simulate(simulation_options const& options) { return simulation(options).run(); }

}  // namespace frostline::load
