#include "engines/controller.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::engines {
namespace {

constexpr std::string_view k_part = "engines";
constexpr milliseconds k_report_interval{500};
constexpr milliseconds k_first_load_backoff{100};
constexpr milliseconds k_longest_load_backoff{1000};
constexpr std::uint32_t k_retry_after_ms = 100;
/// Consecutive missed reports after which an engine counts as unreachable.
constexpr int k_missed_reports = 2;

bool serves(rpc::TaskRecordT const& task, std::string const& engine) {
  if (task.engines.empty()) return true;
  return std::find(task.engines.begin(), task.engines.end(), engine) != task.engines.end();
}

}  // namespace

std::string_view to_string(engine_state state) {
  switch (state) {
    case engine_state::unknown:
      return "unknown";
    case engine_state::loading:
      return "loading";
    case engine_state::ready:
      return "ready";
    case engine_state::unreachable:
      return "unreachable";
    case engine_state::leaving:
      return "leaving";
  }
  return "unknown";
}

std::map<std::string, wanted_version> wanted_versions(config::store const& store,
                                                      std::string const& engine) {
  std::map<std::string, wanted_version> wanted;
  for (auto const& [name, task] : store.tasks()) {
    auto const published = store.versions().find(name);
    if (published == store.versions().end() || !serves(task.record, engine)) continue;
    wanted_version& newest = wanted[task.record.model];
    if (published->second.record.version <= newest.version) continue;
    newest = {published->second.record.version, published->second.record.weights};
  }
  return wanted;
}

controller::controller(asio::io_context& context, http::client& transport,
                       config::store const& store, routing::leaving_tracker& leaving,
                       machines::machine machine, kv::revision epoch)
    : context_(context),
      store_(store),
      leaving_(leaving),
      machine_(std::move(machine)),
      epoch_(epoch),
      client_(transport, machine_.address),
      wanted_changed_(context) {}

void controller::start() {
  auto const self = shared_from_this();
  spawn(context_, [](std::shared_ptr<controller> instance) -> awaitable<void> {
    co_await instance->report_loop();
  }(self));
  spawn(context_, [](std::shared_ptr<controller> instance) -> awaitable<void> {
    co_await instance->load_loop();
  }(self));
}

void controller::stop() {
  stopped_ = true;
  wanted_changed_.notify_all();
}

bool controller::is_leaving() const {
  return leaving_.is_leaving(machine_.id, machine_.incarnation, report_.incarnation);
}

std::uint64_t controller::version_of(std::string const& model) const {
  auto const found = versions_.find(model);
  return found == versions_.end() ? 0 : found->second;
}

void controller::apply_report(load_report const& report) {
  bool const restarted = report_.incarnation != 0 && report.incarnation != report_.incarnation;
  if (restarted) {
    log_line(log_level::warning, k_part, "Engine restarted.",
             {{"engine", machine_.id}, {"incarnation", report.incarnation}});
  }
  bool const first = report_.incarnation == 0;
  report_ = report;
  // Reports lag, so they only set the versions of a new process. Later versions are recorded when
  // this controller's orders complete.
  if (first || restarted) versions_ = report.versions;
  if (report.leaving) {
    leaving_.mark(machine_.id, report.incarnation, routing::leaving_source::back_end);
    state_ = engine_state::leaving;
  }
  if (restarted || state_ == engine_state::unreachable) state_ = engine_state::loading;
  if (first || restarted) wanted_changed_.notify_all();
}

awaitable<void> controller::report_loop() {
  int missed = 0;
  while (!stopped_) {
    auto const report = co_await client_.fetch_load();
    if (report) {
      missed = 0;
      apply_report(*report);
    } else if (++missed == k_missed_reports) {
      state_ = engine_state::unreachable;
      log_line(log_level::warning, k_part, "Engine does not report.", {{"engine", machine_.id}});
    }
    if (missed > 0) wanted_changed_.notify_all();
    co_await wait_for(k_report_interval);
  }
}

awaitable<bool> controller::load_next_version() {
  for (auto const& [model, wanted] : wanted_versions(store_, machine_.id)) {
    if (version_of(model) >= wanted.version) continue;
    state_ = engine_state::loading;
    load_order order{model, wanted.version, wanted.weights, epoch_};
    std::string const ordered_model = model;
    std::uint64_t const ordered_version = wanted.version;
    std::string detail;
    order_outcome const outcome = co_await client_.load(std::move(order), detail);
    if (outcome != order_outcome::done) {
      swap_error_ = detail;
      log_line(log_level::warning, k_part, "Load order failed.",
               {{"engine", machine_.id}, {"version", ordered_version}, {"detail", detail}});
      if (outcome == order_outcome::fenced) stopped_ = true;
      co_return false;
    }
    swap_error_.clear();
    versions_[ordered_model] = ordered_version;
    log_line(log_level::info, k_part, "Engine loaded a new version.",
             {{"engine", machine_.id}, {"version", ordered_version}});
    co_return false;  // the wanted versions may have changed meanwhile
  }
  co_return true;
}

awaitable<void> controller::load_loop() {
  milliseconds backoff = k_first_load_backoff;
  while (!stopped_) {
    if (report_.incarnation == 0 || state_ == engine_state::unreachable) {
      co_await wanted_changed_.wait();
      continue;
    }
    bool const current = co_await load_next_version();
    if (current) {
      if (state_ != engine_state::leaving) state_ = engine_state::ready;
      backoff = k_first_load_backoff;
      co_await wanted_changed_.wait();
    } else if (!swap_error_.empty()) {
      co_await wait_for(backoff);
      backoff = std::min(backoff * 2, k_longest_load_backoff);
    }
  }
}

void controller::abandon(std::string const& attempt, running_sample& sample, std::string reason) {
  if (sample.abandoned) return;
  sample.abandoned = true;
  sample.reason = std::move(reason);
  spawn(context_, [](std::shared_ptr<controller> instance, std::string id) -> awaitable<void> {
    co_await instance->cancel_at_engine(std::move(id));
  }(shared_from_this(), attempt));
}

void controller::abandon_all() {
  for (auto& [attempt, sample] : running_) abandon(attempt, sample, "controller stops");
}

awaitable<void> controller::cancel_at_engine(std::string attempt) {
  co_await client_.cancel(std::move(attempt));
}

void controller::on_config_change() {
  wanted_changed_.notify_all();
  for (auto& [attempt, sample] : running_) {
    std::uint64_t const published = store_.published_version(sample.task);
    if (sample.spans.empty()) continue;
    if (is_within_bound(sample.spans, published, sample.freshness_bound)) continue;
    abandon(attempt, sample, "freshness");
  }
}

bool controller::cancel(std::string const& attempt) {
  auto const found = running_.find(attempt);
  if (found == running_.end()) return false;
  abandon(attempt, found->second, "cancelled");
  return true;
}

std::string controller::refusal_reason(rpc::RunSampleRequestT const& request) const {
  if (stopped_) return "not_controller";
  if (is_leaving()) return "leaving";
  if (report_.incarnation == 0) return "not_ready";
  if (state_ == engine_state::unreachable) return "unreachable";
  if (running_.size() >= report_.slots) return "full";
  std::uint64_t const version = version_of(request.model);
  if (version == 0 || version < request.minimum_version) return "old_version";
  if (running_.contains(request.attempt)) return "attempt_known";
  return {};
}

rpc::RunSampleResponseT controller::make_response(rpc::RunOutcome outcome,
                                                  std::string reason) const {
  rpc::RunSampleResponseT response;
  response.outcome = outcome;
  response.reason = std::move(reason);
  std::size_t const slots = report_.slots;
  std::size_t const free = slots > running_.size() ? slots - running_.size() : 0;
  response.free_slots = static_cast<std::uint32_t>(free);
  response.retry_after_ms = k_retry_after_ms;
  return response;
}

awaitable<rpc::RunSampleResponseT> controller::run(rpc::RunSampleRequestT request) {
  std::string const refusal = refusal_reason(request);
  if (!refusal.empty()) co_return make_response(rpc::RunOutcome::REFUSED, refusal);
  auto const self = shared_from_this();
  running_sample& sample = running_[request.attempt];
  sample.task = request.task;
  sample.freshness_bound = request.freshness_bound;
  sample.spans = from_wire(request.resume_spans);
  sample.text = request.resume_text;
  completion_request wanted;
  wanted.id = request.attempt;
  wanted.model = request.model;
  wanted.prompt = std::move(request.prompt);
  wanted.sample_index = request.sample_index;
  wanted.max_tokens = request.max_tokens;
  wanted.priority = request.priority;
  wanted.resume_tokens = token_count(sample.spans);
  wanted.epoch = epoch_;
  auto on_tokens = [&sample](token_event const& event) {
    if (sample.abandoned) return false;
    sample.text += event.text;
    append_span(sample.spans, event.version, event.tokens);
    return true;
  };
  auto const outcome = co_await client_.complete(std::move(wanted), on_tokens);
  running_sample const done = std::move(sample);
  running_.erase(request.attempt);
  rpc::RunOutcome end = rpc::RunOutcome::INTERRUPTED;
  if (outcome.end == completion_end::finished) end = rpc::RunOutcome::FINISHED;
  if (outcome.end == completion_end::refused) end = rpc::RunOutcome::REFUSED;
  if (outcome.end == completion_end::rejected) end = rpc::RunOutcome::REJECTED;
  auto response = make_response(end, done.abandoned ? done.reason : outcome.detail);
  response.text = done.text;
  response.spans = to_wire(done.spans);
  response.engine_version = version_of(request.model);
  co_return response;
}

rpc::EngineStatusT controller::status() const {
  rpc::EngineStatusT status;
  status.id = machine_.id;
  status.address = machine_.address.to_string();
  status.zone = machine_.zone;
  status.incarnation = report_.incarnation;
  status.state = std::string(to_string(is_leaving() ? engine_state::leaving : state_));
  for (auto const& [model, version] : versions_) {
    auto item = std::make_unique<rpc::ModelVersionT>();
    item->model = model;
    item->version = version;
    status.versions.push_back(std::move(item));
  }
  status.running = static_cast<std::uint32_t>(running_.size());
  status.slots = report_.slots;
  status.swap_error = swap_error_;
  return status;
}

}  // namespace frostline::engines
