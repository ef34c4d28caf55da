#include "test_trainer.h"

namespace frostline::testing {
namespace {

namespace json = boost::json;

constexpr milliseconds k_call_timeout{15'000};

}  // namespace

test_trainer::test_trainer(cluster& system, std::string task, std::uint32_t shard)
    : system_(system),
      task_(std::move(task)),
      shard_(shard),
      journal_(system.journal_folder() + "/trainer-" + task_ + "-" + std::to_string(shard) +
               ".jsonl") {}

void test_trainer::submit(std::uint64_t first, std::uint64_t count, std::uint32_t samples,
                          std::uint32_t max_tokens) {
  rpc::SubmitGroupsRequestT request;
  request.task = task_;
  for (std::uint64_t group = first; group < first + count; ++group) {
    auto item = std::make_unique<rpc::SampleGroupT>();
    item->group = group;
    item->prompt = task_ + " prompt " + std::to_string(group);
    item->samples = samples;
    item->max_tokens = max_tokens;
    journal_.write(
        "submitted",
        {{"task", task_}, {"group", group}, {"prompt", item->prompt}, {"samples", samples}});
    request.groups.push_back(std::move(item));
  }
  std::size_t tries = 0;
  cluster::wait_until("groups are accepted", [&] {
    std::uint32_t const by_node = nodes_to_pull[tries++ % nodes_to_pull.size()];
    auto const answer =
        system_.client().call<rpc::SubmitGroupsRequestT, rpc::SubmitGroupsResponseT>(
            system_.node(by_node), "TrainerService", "SubmitGroups", request, k_call_timeout);
    return answer.has_value();
  });
}

test_trainer::pull_reply test_trainer::pull(std::uint32_t by_node, milliseconds wait, bool direct) {
  rpc::PullBatchRequestT request;
  request.task = task_;
  request.shard = shard_;
  request.cursor = cursor_;
  request.cursor_identity = identity_;
  request.max_wait_ms = static_cast<std::uint32_t>(wait.count());
  request.forwarded = direct;
  return system_.client().call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
      system_.node(by_node), "TrainerService", "PullBatch", request, k_call_timeout);
}

test_trainer::pull_reply test_trainer::pull_at(std::uint64_t cursor, std::string const& identity,
                                               std::uint32_t by_node) {
  std::uint64_t const own_cursor = cursor_;
  std::string const own_identity = identity_;
  cursor_ = cursor;
  identity_ = identity;
  auto answer = pull(by_node);
  cursor_ = own_cursor;
  identity_ = own_identity;
  return answer;
}

void test_trainer::make_durable(rpc::PullBatchResponseT const& answer) {
  if (!answer.batch) return;
  for (auto const& sample : answer.batch->samples) {
    json::array spans;
    for (auto const& span : sample->spans) {
      spans.push_back(json::object{{"version", span->version}, {"tokens", span->tokens}});
    }
    journal_.write("sample", {{"task", task_},
                              {"batch", answer.batch->number},
                              {"revision", answer.committed_revision},
                              {"group", sample->group},
                              {"index", sample->index},
                              {"attempt", sample->attempt},
                              {"scored", sample->scored},
                              {"spans", spans},
                              {"text", sample->text}});
  }
  cursor_ = answer.batch->number;
  identity_ = answer.batch->identity;
  durable_count_ += answer.batch->samples.size();
}

void test_trainer::pull_until(std::size_t wanted, milliseconds timeout) {
  std::size_t tries = 0;
  std::string const what = std::to_string(wanted) + " samples are delivered";
  cluster::wait_until(
      what,
      [&] {
        if (durable_count_ >= wanted) return true;
        auto const answer = pull(nodes_to_pull[tries++ % nodes_to_pull.size()]);
        if (answer) make_durable(answer.value());
        return durable_count_ >= wanted;
      },
      timeout);
}

std::string owner_of(cluster& system, std::string const& task, std::uint32_t shard,
                     std::uint32_t by_node) {
  auto const status = shard_status(system, task, shard, by_node);
  return status ? status->owner : std::string();
}

std::uint32_t index_of(std::string const& name) {
  return static_cast<std::uint32_t>(std::stoul(name.substr(name.rfind('-') + 1)));
}

std::optional<rpc::ShardStatusT> shard_status(cluster& system, std::string const& task,
                                              std::uint32_t shard, std::uint32_t by_node) {
  std::optional<rpc::ShardStatusT> newest;
  for (auto const& candidate : system.status(by_node).shards) {
    if (candidate->task != task || candidate->shard != shard) continue;
    if (!newest || candidate->epoch > newest->epoch) newest = *candidate;
  }
  return newest;
}

std::uint32_t wait_for_owner(cluster& system, std::string const& task, std::uint32_t shard,
                             std::uint32_t by_node) {
  std::string name;
  cluster::wait_until("shard " + std::to_string(shard) + " has an owner", [&] {
    name = owner_of(system, task, shard, by_node);
    return !name.empty();
  });
  return index_of(name);
}

void wait_for_finished(cluster& system, std::string const& task, std::uint32_t shard,
                       std::uint32_t by_node, std::uint32_t wanted) {
  cluster::wait_until(std::to_string(wanted) + " samples are finished", [&] {
    auto const status = shard_status(system, task, shard, by_node);
    return status && status->finished >= wanted;
  });
}

load::check_report check_run(cluster& system) {
  load::check_options options;
  options.folder = system.journal_folder();
  return load::check_journals(options);
}

std::string describe(load::check_report const& report) { return json::serialize(report.to_json()); }

}  // namespace frostline::testing
