#include "rollout/service.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"
#include "rpc/client.h"

namespace frostline::rollout {
namespace {

constexpr milliseconds k_owner_retry_after{500};
constexpr milliseconds k_submit_timeout{10'000};
constexpr milliseconds k_pull_timeout_margin{5000};
constexpr std::size_t k_max_groups_per_request = 8192;

rpc::problem owner_unknown(std::string const& shard) {
  return rpc::unavailable(rpc::reason::owner_unknown, "no owner known for shard " + shard,
                          k_owner_retry_after);
}

rpc::problem no_such_task(std::string const& task) {
  return {http::status::not_found, rpc::reason::not_found, "no such task: " + task,
          rpc::run_state::not_run, milliseconds(0)};
}

rpc::problem no_disk() {
  return rpc::unavailable(rpc::reason::not_ready, "this node has no data folder",
                          milliseconds(1000));
}

}  // namespace

service::service(node_dependencies& dependencies, routing::leaving_tracker& leaving_marks,
                 bulk::store* local_bulk)
    : dependencies_(dependencies), leaving_marks_(leaving_marks), local_bulk_(local_bulk) {
  dependencies_.local_controller = [this](std::string const& engine) {
    auto const found = controllers_.find(engine);
    return found == controllers_.end() ? nullptr : found->second;
  };
}

void service::register_methods(rpc::dispatcher& methods) {
  methods.add<rpc::SubmitGroupsRequestT, rpc::SubmitGroupsResponseT>(
      "TrainerService", "SubmitGroups",
      [this](rpc::SubmitGroupsRequestT request) { return submit(std::move(request)); });
  methods.add<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
      "TrainerService", "PullBatch",
      [this](rpc::PullBatchRequestT request) { return pull(std::move(request)); });
  methods.add<rpc::RunSampleRequestT, rpc::RunSampleResponseT>(
      "NodeService", "RunSample",
      [this](rpc::RunSampleRequestT request) { return run_sample(std::move(request)); });
  methods.add<rpc::CancelSampleRequestT, rpc::CancelSampleResponseT>(
      "NodeService", "CancelSample",
      [this](rpc::CancelSampleRequestT request) { return cancel(std::move(request)); });
  methods.add<rpc::StoreBulkRequestT, rpc::StoreBulkResponseT>(
      "NodeService", "StoreBulk",
      [this](rpc::StoreBulkRequestT request) { return store_bulk(std::move(request)); });
  methods.add<rpc::LoadBulkRequestT, rpc::LoadBulkResponseT>(
      "NodeService", "LoadBulk",
      [this](rpc::LoadBulkRequestT request) { return load_bulk(std::move(request)); });
}

std::vector<ownership::resource> service::list_resources() const {
  std::vector<ownership::resource> resources;
  for (auto const& [name, task] : dependencies_.config.tasks()) {
    for (std::uint32_t shard = 0; shard < std::max<std::uint32_t>(1, task.record.shards); ++shard) {
      resources.push_back(
          {config::key_of(config::k_shard_owners, config::shard_name(name, shard)), {}});
    }
  }
  for (auto const& [id, machine] : dependencies_.machines.machines()) {
    if (machine.kind != machines::machine_kind::engine) continue;
    resources.push_back({config::key_of(config::k_engine_owners, id), machine.zone});
  }
  return resources;
}

void service::reconcile() {
  if (stopping_) return;
  reconcile_shards();
  reconcile_engines();
  for (auto const& [name, owner] : owners_) owner->on_change();
  for (auto const& [id, controller] : controllers_) controller->on_config_change();
  for (auto const& controller : draining_controllers_) controller->on_config_change();
}

void service::reconcile_shards() {
  for (auto const& [name, record] : dependencies_.config.shard_owners()) {
    kv::revision const epoch =
        dependencies_.owner.epoch_of(config::key_of(config::k_shard_owners, name));
    auto const existing = owners_.find(name);
    bool const current = existing != owners_.end() && existing->second->epoch() == epoch;
    if (epoch == 0 || current) continue;
    if (existing != owners_.end()) existing->second->stop();
    auto const slash = name.rfind('/');
    std::uint32_t shard = 0;
    // A key that names no shard was not written by a node.
    if (slash == std::string::npos) continue;
    auto const [end, error] =
        std::from_chars(name.data() + slash + 1, name.data() + name.size(), shard);
    if (error != std::errc() || end != name.data() + name.size()) continue;
    auto owner = std::make_shared<shard_owner>(dependencies_, name.substr(0, slash), shard, epoch);
    owners_[name] = owner;
    owner->start();
  }
  for (auto position = owners_.begin(); position != owners_.end();) {
    std::string const key = config::key_of(config::k_shard_owners, position->first);
    bool const is_owned = dependencies_.owner.epoch_of(key) == position->second->epoch();
    if (!is_owned) position->second->stop();
    position = is_owned ? std::next(position) : owners_.erase(position);
  }
}

void service::reconcile_engines() {
  auto const retire = [this](std::shared_ptr<engines::controller> const& controller) {
    controller->stop();
    if (controller->in_flight() > 0) draining_controllers_.push_back(controller);
  };
  for (auto const& [id, machine] : dependencies_.machines.machines()) {
    if (machine.kind != machines::machine_kind::engine) continue;
    kv::revision const epoch =
        dependencies_.owner.epoch_of(config::key_of(config::k_engine_owners, id));
    auto const existing = controllers_.find(id);
    bool const current = existing != controllers_.end() && existing->second->epoch() == epoch &&
                         existing->second->machine() == machine;
    if (current) continue;
    if (existing != controllers_.end()) {
      retire(existing->second);
      controllers_.erase(existing);
    }
    if (epoch == 0) continue;
    auto controller =
        std::make_shared<engines::controller>(dependencies_.context, dependencies_.transport,
                                              dependencies_.config, leaving_marks_, machine, epoch);
    controllers_[id] = controller;
    controller->start();
  }
  std::erase_if(draining_controllers_,
                [](auto const& controller) { return controller->in_flight() == 0; });
}

void service::stop_owners() {
  stopping_ = true;
  for (auto const& [name, owner] : owners_) owner->stop();
  for (auto const& [id, controller] : controllers_) controller->stop();
}

void service::abandon_runs() {
  for (auto const& [id, controller] : controllers_) controller->abandon_all();
  for (auto const& controller : draining_controllers_) controller->abandon_all();
}

std::size_t service::runs_in_flight() const {
  std::size_t total = 0;
  for (auto const& [id, controller] : controllers_) total += controller->in_flight();
  for (auto const& controller : draining_controllers_) total += controller->in_flight();
  return total;
}

bool service::has_busy_owners() const {
  return std::any_of(owners_.begin(), owners_.end(),
                     [](auto const& owner_entry) { return owner_entry.second->is_busy(); });
}

std::shared_ptr<shard_owner> service::find_owner(std::string const& shard_name) const {
  auto const found = owners_.find(shard_name);
  return found == owners_.end() ? nullptr : found->second;
}

std::optional<endpoint> service::remote_owner(std::string const& shard_name) const {
  auto const* owner = dependencies_.config.find_shard_owner(shard_name);
  if (owner == nullptr || ownership::is_self(owner->record, dependencies_.owner.self())) {
    return std::nullopt;
  }
  return parse_endpoint(owner->record.address);
}

awaitable<service::submit_reply> service::submit(rpc::SubmitGroupsRequestT request) {
  auto const* task = dependencies_.config.find_task(request.task);
  if (task == nullptr) co_return no_such_task(request.task);
  if (request.groups.size() > k_max_groups_per_request)
    co_return rpc::bad_request("too many groups");
  std::uint32_t const shards = std::max<std::uint32_t>(1, task->record.shards);
  bool const forwarded = request.forwarded;
  std::string const name = request.task;
  std::map<std::uint32_t, rpc::SubmitGroupsRequestT> by_shard;
  for (auto& group : request.groups) {
    auto& part = by_shard[static_cast<std::uint32_t>(group->group % shards)];
    part.task = name;
    part.forwarded = forwarded;
    part.groups.push_back(std::move(group));
  }
  rpc::SubmitGroupsResponseT total;
  total.shards = shards;
  for (auto& [shard, part] : by_shard) {
    auto answer = co_await submit_to_shard(shard, std::move(part));
    // Submission is idempotent: after a failure the trainer submits all groups again.
    if (!answer) co_return answer.error();
    total.accepted += answer.value().accepted;
    total.known += answer.value().known;
  }
  co_return total;
}

awaitable<service::submit_reply> service::submit_to_shard(std::uint32_t shard,
                                                          rpc::SubmitGroupsRequestT request) {
  std::string const name = config::shard_name(request.task, shard);
  auto const owner = find_owner(name);
  if (owner) co_return co_await owner->submit(std::move(request));
  auto const remote = remote_owner(name);
  if (!remote || request.forwarded) co_return owner_unknown(name);
  request.forwarded = true;
  co_return co_await rpc::call<rpc::SubmitGroupsRequestT, rpc::SubmitGroupsResponseT>(
      dependencies_.transport, *remote, "TrainerService", "SubmitGroups", request,
      k_submit_timeout);
}

awaitable<service::pull_reply> service::pull(rpc::PullBatchRequestT request) {
  auto const* task = dependencies_.config.find_task(request.task);
  if (task == nullptr) co_return no_such_task(request.task);
  if (request.shard >= std::max<std::uint32_t>(1, task->record.shards)) {
    co_return rpc::bad_request("no such shard: " + std::to_string(request.shard));
  }
  std::string const name = config::shard_name(request.task, request.shard);
  auto const owner = find_owner(name);
  if (owner) co_return co_await owner->pull(std::move(request));
  auto const remote = remote_owner(name);
  if (!remote || request.forwarded) co_return owner_unknown(name);
  request.forwarded = true;
  milliseconds const timeout = milliseconds(request.max_wait_ms) + k_pull_timeout_margin;
  co_return co_await rpc::call<rpc::PullBatchRequestT, rpc::PullBatchResponseT>(
      dependencies_.transport, *remote, "TrainerService", "PullBatch", request, timeout);
}

awaitable<rpc::reply<rpc::RunSampleResponseT>> service::run_sample(rpc::RunSampleRequestT request) {
  auto const controller = dependencies_.local_controller(request.engine);
  if (!controller || dependencies_.is_cut_off()) {
    rpc::RunSampleResponseT refusal;
    refusal.outcome = rpc::RunOutcome::REFUSED;
    refusal.reason = controller ? "cut_off" : "not_controller";
    refusal.retry_after_ms = static_cast<std::uint32_t>(k_owner_retry_after.count());
    co_return refusal;
  }
  co_return co_await controller->run(std::move(request));
}

awaitable<rpc::reply<rpc::CancelSampleResponseT>> service::cancel(
    rpc::CancelSampleRequestT request) {
  rpc::CancelSampleResponseT response;
  auto const controller = dependencies_.local_controller(request.engine);
  response.cancelled = controller && controller->cancel(request.attempt);
  co_return response;
}

awaitable<rpc::reply<rpc::StoreBulkResponseT>> service::store_bulk(rpc::StoreBulkRequestT request) {
  if (local_bulk_ == nullptr) co_return no_disk();
  auto const stored = local_bulk_->put(request);
  if (!stored) {
    co_return rpc::unavailable(rpc::reason::not_ready, stored.error().message(),
                               milliseconds(1000));
  }
  rpc::StoreBulkResponseT response;
  response.stored = stored.value();
  co_return response;
}

awaitable<rpc::reply<rpc::LoadBulkResponseT>> service::load_bulk(rpc::LoadBulkRequestT request) {
  if (local_bulk_ == nullptr) co_return no_disk();
  auto loaded = local_bulk_->load(request.task, request.shard);
  if (!loaded) {
    co_return rpc::unavailable(rpc::reason::not_ready, loaded.error().message(),
                               milliseconds(1000));
  }
  co_return std::move(loaded.value());
}

void service::fill_status(rpc::GetStatusResponseT& status) const {
  for (auto const& [id, controller] : controllers_) {
    auto engine = std::make_unique<rpc::EngineStatusT>(controller->status());
    engine->controller = dependencies_.owner.self().node;
    status.engines.push_back(std::move(engine));
  }
  for (auto const& [name, owner] : owners_) {
    status.shards.push_back(std::make_unique<rpc::ShardStatusT>(owner->status()));
  }
}

}  // namespace frostline::rollout
