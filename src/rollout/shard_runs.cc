/// @file Running a shard's samples on engines: dispatch, retries, scoring and storage.

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"
#include "http/json_fields.h"
#include "rollout/shard_owner.h"
#include "rollout/wire.h"
#include "rpc/client.h"

namespace frostline::rollout {
namespace {

constexpr std::string_view k_part = "rollout";
/// Timeout of the call that runs a sample, including its generation.
constexpr milliseconds k_run_timeout{45 * 60 * 1000};
constexpr milliseconds k_failure_backoff{300};
constexpr milliseconds k_retry_backoff{50};
constexpr milliseconds k_score_timeout{5000};
constexpr milliseconds k_score_backoff{200};
constexpr milliseconds k_store_backoff{200};

bool is_engine_allowed(rpc::TaskRecordT const& task, std::string const& engine) {
  auto const& allowed = task.engines;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), engine) != allowed.end();
}

}  // namespace

void shard_owner::refresh_engines() {
  auto const* task = task_record();
  std::set<std::string> usable;
  for (auto const& [id, machine] : dependencies_.machines.machines()) {
    if (machine.kind != machines::machine_kind::engine) continue;
    auto const* owner = dependencies_.config.find_engine_owner(id);
    bool const is_leaving =
        machine.leaving || dependencies_.leaving.is_leaving(id, machine.incarnation, {});
    if (owner == nullptr || is_leaving || task == nullptr || !is_engine_allowed(*task, id))
      continue;
    engine_view& view = engines_[id];
    view.id = id;
    view.controller = owner->record.address;
    view.zone = machine.zone;
    view.slots = machine.slots;
    usable.insert(id);
  }
  for (auto& [id, view] : engines_) {
    if (!usable.contains(id)) view.slots = 0;
  }
}

void shard_owner::dispatch() {
  if (dependencies_.is_cut_off() || published_version() == 0 || task_record() == nullptr) return;
  refresh_engines();
  std::vector<engine_view> views;
  for (auto const& [id, view] : engines_) views.push_back(view);
  time_point const now = boot_clock::now();
  while (auto const group = table_.peek_group(now)) {
    placement_request const request{*group, dependencies_.zone};
    auto const chosen = place(*placement_, views, request, now);
    if (!chosen) return;
    auto work = table_.take_next(now);
    std::string const engine = views[*chosen].id;
    ++views[*chosen].in_flight;
    ++engines_[engine].in_flight;
    auto const* owner = dependencies_.config.find_engine_owner(engine);
    runs_[work->attempt] = {engine, owner->record.node, owner->revision, work->key};
    spawn(dependencies_.context,
          [](std::shared_ptr<shard_owner> self, work_item item,
             std::string target) -> awaitable<void> {
            co_await self->run_sample(std::move(item), std::move(target));
          }(shared_from_this(), std::move(*work), engine));
  }
}

/// Queues samples again that run on an engine whose controller node is dead according to gossip.
/// A late result is accepted only until the sample runs again.
void shard_owner::abandon_lost_runs() {
  std::vector<std::string> lost;
  for (auto const& [attempt, run] : runs_) {
    auto const* controller = dependencies_.members.find(run.controller_node);
    bool const dead =
        controller != nullptr && controller->update.state == membership::member_state::DEAD;
    if (dead) lost.push_back(attempt);
  }
  for (std::string const& attempt : lost) {
    active_run const run = runs_.at(attempt);
    release_slot(run.engine, attempt);
    table_.interrupt(run.key, attempt, boot_clock::now(), {});
  }
}

void shard_owner::release_slot(std::string const& engine, std::string const& attempt) {
  if (runs_.erase(attempt) == 0) return;
  engine_view& view = engines_[engine];
  if (view.in_flight > 0) --view.in_flight;
}

void shard_owner::block_engine(std::string const& engine, milliseconds duration) {
  engines_[engine].blocked_until = boot_clock::now() + with_jitter(duration);
}

awaitable<rpc::reply<rpc::RunSampleResponseT>> shard_owner::call_controller(
    std::string engine, rpc::RunSampleRequestT request) {
  auto const local = dependencies_.local_controller(engine);
  if (local) co_return co_await local->run(std::move(request));
  auto const target_endpoint = parse_endpoint(engines_[engine].controller);
  if (!target_endpoint)
    co_return rpc::unavailable(rpc::reason::owner_unknown, engine, k_failure_backoff);
  co_return co_await rpc::call<rpc::RunSampleRequestT, rpc::RunSampleResponseT>(
      dependencies_.transport, *target_endpoint, "NodeService", "RunSample", request,
      k_run_timeout);
}

awaitable<void> shard_owner::run_sample(work_item work, std::string engine) {
  rpc::RunSampleRequestT request;
  request.engine = engine;
  request.model = task_record()->model;
  request.task = task_;
  request.freshness_bound = freshness_bound();
  request.attempt = work.attempt;
  request.prompt = work.group.prompt;
  request.sample_index = work.key.index;
  request.max_tokens = work.group.max_tokens;
  request.priority = task_record()->priority;
  request.resume_text = work.resume.text;
  request.resume_spans = engines::to_wire(work.resume.spans);
  std::uint64_t const newest = published_version();
  request.minimum_version = newest > freshness_bound() ? newest - freshness_bound() : 1;
  auto answer = co_await call_controller(engine, std::move(request));
  release_slot(engine, work.attempt);
  if (is_stopped()) co_return;
  if (answer) {
    co_await handle_run_response(work, engine, std::move(answer.value()));
  } else {
    handle_run_failure(work, engine, answer.error());
  }
  changed_.notify_all();
}

void shard_owner::handle_run_failure(work_item const& work, std::string const& engine,
                                     rpc::problem const& failure) {
  log_line(log_level::warning, k_part,
           "Call to the engine controller failed; the run will be retried.",
           {{"attempt", work.attempt}, {"engine", engine}, {"detail", failure.detail}});
  block_engine(engine, k_failure_backoff);
  table_.interrupt(work.key, work.attempt, boot_clock::now(), work.resume);
}

awaitable<void> shard_owner::handle_run_response(work_item const& work, std::string const& engine,
                                                 rpc::RunSampleResponseT response) {
  switch (response.outcome) {
    case rpc::RunOutcome::REFUSED:
      block_engine(engine, milliseconds(std::max<std::uint32_t>(response.retry_after_ms, 20)));
      table_.interrupt(work.key, work.attempt, boot_clock::now(), work.resume);
      break;
    case rpc::RunOutcome::INTERRUPTED:
      block_engine(engine, k_retry_backoff);
      handle_run_interruption(work, response);
      break;
    case rpc::RunOutcome::REJECTED:
    case rpc::RunOutcome::FINISHED: {
      finished_sample sample;
      sample.key = work.key;
      sample.attempt = work.attempt;
      sample.failed = response.outcome == rpc::RunOutcome::REJECTED;
      sample.text = sample.failed ? response.reason : std::move(response.text);
      sample.spans = engines::from_wire(response.spans);
      co_await complete_sample(std::move(sample));
      break;
    }
  }
}

void shard_owner::handle_run_interruption(work_item const& work,
                                          rpc::RunSampleResponseT const& response) {
  partial_run partial{response.text, engines::from_wire(response.spans)};
  bool const usable =
      engines::is_within_bound(partial.spans, published_version(), freshness_bound());
  if (!usable && !partial.spans.empty()) {
    table_.restart(work.key, work.attempt);
    return;
  }
  time_point const retry_at = boot_clock::now() + with_jitter(k_retry_backoff);
  table_.interrupt(work.key, work.attempt, retry_at, std::move(partial));
}

/// Scores and stores a sample, with retries until both succeed, the sample exceeds the freshness
/// bound or the owner stops. The sample counts as running until then.
awaitable<void> shard_owner::complete_sample(finished_sample sample) {
  while (!is_stopped()) {
    if (!sample.failed &&
        !engines::is_within_bound(sample.spans, published_version(), freshness_bound())) {
      table_.restart(sample.key, sample.attempt);
      co_return;
    }
    bool const scored = sample.scored || sample.failed || co_await score(sample);
    if (!scored) {
      co_await wait_for(with_jitter(k_score_backoff));
      continue;
    }
    bool const stored = co_await store_sample(sample);
    if (stored) break;
    co_await wait_for(with_jitter(k_store_backoff));
  }
  if (!is_stopped()) table_.finish(std::move(sample));
}

awaitable<bool> shard_owner::score(finished_sample& sample) {
  auto const* task = task_record();
  if (task == nullptr || task->scorer.empty()) co_return true;
  auto const scorer_endpoint = parse_endpoint(task->scorer);
  if (!scorer_endpoint) co_return true;  // validated when the task was stored
  boost::json::object body;
  body["task"] = task_;
  body["group"] = sample.key.group;
  body["index"] = sample.key.index;
  body["text"] = sample.text;
  auto message = http::make_post("/score", boost::json::serialize(body), http::k_json);
  auto answer = co_await dependencies_.transport.exchange(*scorer_endpoint, std::move(message),
                                                          k_score_timeout);
  if (!answer || answer.value().result() != http::status::ok) co_return false;
  auto const parsed = parse_json_object(answer.value().body());
  auto const* value = parsed ? parsed->if_contains("score") : nullptr;
  if (value == nullptr || !value->is_number()) co_return false;
  sample.score = value->to_number<double>();
  sample.scored = true;
  co_return true;
}

awaitable<bool> shard_owner::store_sample(finished_sample const& sample) {
  rpc::StoreBulkRequestT request;
  request.task = task_;
  request.shard = shard_;
  request.samples.push_back(to_wire(sample));
  co_return co_await dependencies_.bulk.put(std::move(request));
}

}  // namespace frostline::rollout
