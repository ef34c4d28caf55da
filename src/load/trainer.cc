#include "load/trainer.h"

#include <boost/filesystem.hpp>

#include "base/encoding.h"

namespace frostline::load {
namespace {

namespace json = boost::json;

constexpr milliseconds k_call_timeout{10'000};
constexpr milliseconds k_retry_delay{100};
constexpr std::uint32_t k_pull_wait_ms = 1000;

json::array spans_to_json(rpc::SampleT const& sample) {
  json::array spans;
  for (auto const& span : sample.spans) {
    spans.push_back(json::object{{"version", span->version}, {"tokens", span->tokens}});
  }
  return spans;
}

}  // namespace

trainer::trainer(asio::io_context& context, trainer_options options)
    : context_(context),
      options_(std::move(options)),
      client_(context),
      journal_(options_.journal_path),
      batch_received_(context),
      deadline_(boot_clock::now() + options_.timeout) {}

bool trainer::stop_requested() const {
  return !options_.stop_file.empty() && boost::filesystem::exists(options_.stop_file);
}

endpoint const& trainer::next_node() {
  return options_.nodes[node_index_++ % options_.nodes.size()];
}

std::uint64_t trainer::groups_per_step() const {
  return std::max<std::uint64_t>(1, options_.samples_per_step / options_.group_size);
}

std::string trainer::make_prompt(std::uint64_t group) const {
  std::uint64_t const noise = hash_bytes(std::to_string(group), options_.seed);
  return "prompt " + std::to_string(options_.seed) + "/" + std::to_string(group) + " " +
         std::to_string(noise);
}

awaitable<bool> trainer::publish(std::uint64_t version) {
  rpc::PublishVersionRequestT request;
  request.task = options_.task;
  request.version = version;
  if (!options_.weight_store.empty()) {
    request.weights = options_.weight_store + "/weights/" + std::to_string(version);
  }
  while (!timed_out()) {
    auto answer = co_await rpc::call<rpc::PublishVersionRequestT, rpc::ChangeResponseT>(
        client_, next_node(), "OperatorService", "PublishVersion", request, k_call_timeout);
    if (answer && answer.value().outcome == rpc::ChangeOutcome::ACCEPTED) {
      journal_.write(
          "published",
          {{"task", options_.task}, {"version", version}, {"revision", answer.value().revision}});
      co_return true;
    }
    co_await wait_for(k_retry_delay);
  }
  co_return false;
}

awaitable<bool> trainer::submit_step(std::uint32_t step) {
  if (step >= options_.steps) co_return true;
  received_per_step_.resize(std::max<std::size_t>(received_per_step_.size(), step + 1));
  rpc::SubmitGroupsRequestT request;
  request.task = options_.task;
  std::uint64_t const first = step * groups_per_step();
  for (std::uint64_t group = first; group < first + groups_per_step(); ++group) {
    auto item = std::make_unique<rpc::SampleGroupT>();
    item->group = group;
    item->prompt = make_prompt(group);
    item->samples = options_.group_size;
    item->max_tokens = options_.max_tokens;
    journal_.write("submitted", {{"task", options_.task},
                                 {"group", group},
                                 {"prompt", item->prompt},
                                 {"samples", item->samples}});
    request.groups.push_back(std::move(item));
  }
  while (!timed_out()) {
    auto answer = co_await rpc::call<rpc::SubmitGroupsRequestT, rpc::SubmitGroupsResponseT>(
        client_, next_node(), "TrainerService", "SubmitGroups", request, k_call_timeout);
    if (answer) {
      if (cursors_.empty()) cursors_.resize(answer.value().shards);
      co_return true;
    }
    co_await wait_for(k_retry_delay);
  }
  co_return false;
}

void trainer::record_batch(std::uint32_t shard, rpc::BatchT const& batch, std::uint64_t revision) {
  journal_.write("batch", {{"task", options_.task},
                           {"shard", shard},
                           {"number", batch.number},
                           {"identity", batch.identity},
                           {"published_version", batch.published_version},
                           {"revision", revision}});
  for (auto const& sample : batch.samples) {
    journal_.write("sample", {{"task", options_.task},
                              {"shard", shard},
                              {"batch", batch.number},
                              {"revision", revision},
                              {"group", sample->group},
                              {"index", sample->index},
                              {"attempt", sample->attempt},
                              {"scored", sample->scored},
                              {"spans", spans_to_json(*sample)},
                              {"text", sample->text}});
    std::uint64_t const step = sample->group / groups_per_step();
    if (step < received_per_step_.size()) ++received_per_step_[step];
    ++report_.samples_received;
  }
  // The batch is journaled, so the cursor may advance.
  cursors_[shard] = {batch.number, batch.identity};
  batch_received_.notify_all();
}

awaitable<void> trainer::pull_once(std::uint32_t shard) {
  rpc::PullBatchRequestT request;
  request.task = options_.task;
  request.shard = shard;
  request.cursor = cursors_[shard].batch;
  request.cursor_identity = cursors_[shard].identity;
  request.max_wait_ms = k_pull_wait_ms;
  endpoint const node = next_node();
  auto answer = co_await rpc::call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
      client_, node, "TrainerService", "PullBatch", request, k_call_timeout);
  if (!answer) {
    rpc::problem const& issue = answer.error();
    if (issue.why == rpc::reason::superseded) ++report_.superseded_batches;
    journal_.write("pull_failed", {{"shard", shard},
                                   {"cursor", request.cursor},
                                   {"reason", rpc::to_string(issue.why)},
                                   {"detail", issue.detail}});
    co_await wait_for(std::max(issue.retry_after, k_retry_delay));
  } else if (answer.value().batch) {
    record_batch(shard, *answer.value().batch, answer.value().committed_revision);
  }
}

awaitable<void> trainer::pull_loop(std::uint32_t shard) {
  while (!done_ && !timed_out()) co_await pull_once(shard);
}

awaitable<bool> trainer::wait_for_step(std::uint32_t step) {
  std::uint64_t const wanted = groups_per_step() * options_.group_size;
  time_point const begin = boot_clock::now();
  while (received_per_step_[step] < wanted && !timed_out()) {
    co_await batch_received_.wait_until(deadline_);
  }
  std::chrono::duration<double> const waited = boot_clock::now() - begin;
  report_.idle_seconds += waited.count();
  co_return received_per_step_[step] >= wanted;
}

awaitable<trainer_report> trainer::run() {
  time_point const begin = boot_clock::now();
  bool running = co_await publish(1);
  for (std::uint32_t step = 0; running && step <= options_.steps_ahead; ++step) {
    running = co_await submit_step(step);
  }
  for (std::uint32_t shard = 0; shard < cursors_.size(); ++shard) {
    spawn(context_, pull_loop(shard));
  }
  std::uint32_t steps = options_.steps;
  for (std::uint32_t step = 0; running && step < steps; ++step) {
    running = co_await wait_for_step(step);
    if (!running) break;
    co_await wait_for(options_.train_time);
    ++report_.steps_done;
    // Steps that are already submitted are still waited for.
    if (stop_requested()) steps = std::min(steps, step + 1 + options_.steps_ahead);
    if (step + 1 == steps) break;
    running = co_await publish(step + 2);
    bool const more = step + 1 + options_.steps_ahead < steps;
    if (running && more) running = co_await submit_step(step + 1 + options_.steps_ahead);
  }
  done_ = true;
  report_.finished = running && report_.steps_done == steps;
  std::chrono::duration<double> const total = boot_clock::now() - begin;
  report_.total_seconds = total.count();
  journal_.write("finished", {{"idle_seconds", report_.idle_seconds},
                              {"total_seconds", report_.total_seconds},
                              {"finished", report_.finished}});
  co_return report_;
}

}  // namespace frostline::load
