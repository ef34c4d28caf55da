#include "operators/service.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"
#include "base/log.h"
#include "rpc/client.h"

namespace frostline::operators {
namespace {

constexpr std::string_view k_part = "operators";
constexpr milliseconds k_kv_retry_after{1000};
constexpr milliseconds k_peer_timeout{1000};
/// Retries of a publication that conflicts because other nodes published older versions.
constexpr std::uint32_t k_publish_retries = 3;
constexpr int k_read_back_attempts = 5;
constexpr milliseconds k_read_back_interval{100};
constexpr std::size_t k_max_name_length = 64;
constexpr std::uint32_t k_max_batch_size = 4096;
constexpr std::uint32_t k_max_shards = 64;
constexpr std::uint32_t k_max_deadline_ms = 600'000;

bool is_name(std::string const& text) {
  if (text.empty() || text.size() > k_max_name_length) return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
           character == '_';
  });
}

bool has_token(std::string const& value, std::string const& token) {
  return value.find(token) != std::string::npos;
}

rpc::problem kv_problem(std::error_code error) {
  return rpc::unavailable(rpc::reason::kv_unavailable, error.message(), k_kv_retry_after);
}

rpc::problem not_found(std::string detail) {
  return {http::status::not_found, rpc::reason::not_found, std::move(detail),
          rpc::run_state::not_run};
}

rpc::ChangeResponseT make_change(rpc::ChangeOutcome outcome, kv::revision revision,
                                 std::string token) {
  rpc::ChangeResponseT response;
  response.outcome = outcome;
  response.revision = revision;
  response.change_token = std::move(token);
  return response;
}

template <class Record>
kv::revision revision_of(std::map<std::string, Record> const& view, std::string const& name) {
  auto const found = view.find(name);
  return found == view.end() ? 0 : found->second.revision;
}

/// Returns the revision that the caller expects, or `known_revision` if `requested` is negative,
/// which means that the caller gave none.
kv::revision expected_revision(std::int64_t requested, kv::revision known_revision) {
  return requested < 0 ? known_revision : static_cast<kv::revision>(requested);
}

}  // namespace

std::string check_task(rpc::TaskRecordT const& task, rpc::TaskRecordT const* existing) {
  if (!is_name(task.name)) return "task.name: must be 1 to 64 letters, digits, '-' or '_'";
  if (!is_name(task.model)) return "task.model: must be 1 to 64 letters, digits, '-' or '_'";
  if (task.batch_size == 0 || task.batch_size > k_max_batch_size) {
    return "task.batch_size: must be 1 to 4096";
  }
  if (task.shards == 0 || task.shards > k_max_shards) return "task.shards: must be 1 to 64";
  if (!task.scorer.empty() && !parse_endpoint(task.scorer)) return "task.scorer: must be IP:port";
  if (existing != nullptr && existing->shards != task.shards) {
    return "task.shards: can't change once the task exists";
  }
  return {};
}

std::string check_route(rpc::RouteRecordT const& route) {
  if (!is_name(route.name)) return "route.name: must be 1 to 64 letters, digits, '-' or '_'";
  if (!route.path_prefix.starts_with('/')) return "route.path_prefix: must begin with '/'";
  if (route.path_prefix.starts_with(rpc::k_rpc_prefix)) {
    return "route.path_prefix: /rpc/v1/ is frostline's own";
  }
  if (route.backends.empty()) return "route.backends: is empty";
  if (route.deadline_ms == 0 || route.deadline_ms > k_max_deadline_ms) {
    return "route.deadline_ms: must be 1 to 600000";
  }
  if (route.max_concurrent == 0) return "route.max_concurrent: must be above 0";
  if (route.retry_budget_percent > 100) return "route.retry_budget_percent: must be 0 to 100";
  return {};
}

service::service(kv::client& kv_service, http::client& transport, config::store const& store,
                 config::sync& sync, membership::table const& members,
                 machines::machine_list const& machines,
                 std::function<void(rpc::GetStatusResponseT&)> describe_local)
    : kv_(kv_service),
      transport_(transport),
      store_(store),
      sync_(sync),
      members_(members),
      machines_(machines),
      describe_local_(std::move(describe_local)) {}

void service::register_methods(rpc::dispatcher& methods) {
  methods.add<rpc::PutTaskRequestT, rpc::ChangeResponseT>(
      "OperatorService", "PutTask",
      [this](rpc::PutTaskRequestT request) { return put_task(std::move(request)); });
  methods.add<rpc::PublishVersionRequestT, rpc::ChangeResponseT>(
      "OperatorService", "PublishVersion",
      [this](rpc::PublishVersionRequestT request) { return publish(std::move(request)); });
  methods.add<rpc::PutRouteRequestT, rpc::ChangeResponseT>(
      "OperatorService", "PutRoute",
      [this](rpc::PutRouteRequestT request) { return put_route(std::move(request)); });
  methods.add<rpc::SetDrainRequestT, rpc::ChangeResponseT>(
      "OperatorService", "SetDrain",
      [this](rpc::SetDrainRequestT request) { return set_drain(std::move(request)); });
  methods.add<rpc::GetStatusRequestT, rpc::GetStatusResponseT>(
      "OperatorService", "GetStatus",
      [this](rpc::GetStatusRequestT request) { return status(request); });
}

awaitable<service::change_reply> service::put_task(rpc::PutTaskRequestT request) {
  if (!request.task) co_return rpc::bad_request("task: is missing");
  rpc::TaskRecordT& task = *request.task;
  auto const* existing = store_.find_task(task.name);
  std::string const error = check_task(task, existing == nullptr ? nullptr : &existing->record);
  if (!error.empty()) co_return rpc::bad_request(error);
  task.change_token = make_unique_token();
  kv::revision const known_revision = revision_of(store_.tasks(), task.name);
  change pending{config::key_of(config::k_tasks, task.name), rpc::encode(task), task.change_token,
                 expected_revision(request.expected_revision, known_revision)};
  co_return co_await write(std::move(pending));
}

awaitable<service::change_reply> service::publish(rpc::PublishVersionRequestT request) {
  if (store_.find_task(request.task) == nullptr) co_return not_found("no such task");
  auto reply = co_await try_publish(request);
  for (std::uint32_t retry = 0; retry < k_publish_retries; ++retry) {
    bool const conflict = reply && reply.value().outcome == rpc::ChangeOutcome::CONFLICT;
    // try_publish() has updated the local copy on a conflict. If the published version is still
    // older than the requested one, the publication can be retried.
    bool const was_behind = store_.published_version(request.task) < request.version;
    if (!conflict || !was_behind) break;
    reply = co_await try_publish(request);
  }
  co_return reply;
}

awaitable<service::change_reply> service::try_publish(rpc::PublishVersionRequestT request) {
  std::uint64_t const published = store_.published_version(request.task);
  kv::revision const known_revision = store_.version_revision(request.task);
  if (request.version == published && published > 0) {
    bool const same = store_.versions().at(request.task).record.weights == request.weights;
    auto const outcome = same ? rpc::ChangeOutcome::ACCEPTED : rpc::ChangeOutcome::CONFLICT;
    co_return make_change(outcome, known_revision, {});
  }
  if (request.version < published) {
    co_return make_change(rpc::ChangeOutcome::CONFLICT, known_revision, {});
  }
  rpc::VersionRecordT record;
  record.task = request.task;
  record.version = request.version;
  record.weights = request.weights;
  record.change_token = make_unique_token();
  change pending{config::key_of(config::k_versions, request.task), rpc::encode(record),
                 record.change_token, known_revision};
  co_return co_await write(std::move(pending));
}

awaitable<service::change_reply> service::put_route(rpc::PutRouteRequestT request) {
  if (!request.route) co_return rpc::bad_request("route: is missing");
  rpc::RouteRecordT& route = *request.route;
  std::string const error = check_route(route);
  if (!error.empty()) co_return rpc::bad_request(error);
  route.change_token = make_unique_token();
  kv::revision const known_revision = revision_of(store_.routes(), route.name);
  change pending{config::key_of(config::k_routes, route.name), rpc::encode(route),
                 route.change_token, expected_revision(request.expected_revision, known_revision)};
  co_return co_await write(std::move(pending));
}

awaitable<service::change_reply> service::set_drain(rpc::SetDrainRequestT request) {
  machines::machine const* machine = machines_.find(request.backend);
  if (machine == nullptr) co_return not_found("no such back end in the machine list");
  rpc::DrainRecordT record;
  record.backend = request.backend;
  record.incarnation = request.incarnation == 0 ? machine->incarnation : request.incarnation;
  record.leaving = request.leaving;
  record.change_token = make_unique_token();
  change pending{config::key_of(config::k_drains, request.backend), rpc::encode(record),
                 record.change_token, revision_of(store_.drains(), request.backend)};
  co_return co_await write(std::move(pending));
}

awaitable<service::change_reply> service::write(change pending) {
  if (!store_.is_complete()) {
    co_return rpc::unavailable(rpc::reason::not_ready, "this node has no configuration yet",
                               k_kv_retry_after);
  }
  kv::transaction transaction;
  transaction.compares.push_back({pending.key, pending.expected});
  transaction.on_success.push_back({kv::operation_kind::put, pending.key, pending.value, 0});
  transaction.read_on_failure.push_back(pending.key);
  auto answer = co_await kv_.apply(std::move(transaction));
  if (!answer && answer.error() == kv::errc::outcome_unknown) {
    co_return co_await resolve_outcome(std::move(pending));
  }
  if (!answer) co_return kv_problem(answer.error());
  if (!answer.value().succeeded) co_return apply_conflicting_write(pending, answer.value());
  kv::revision const accepted = answer.value().store_revision;
  sync_.apply_committed({pending.key, accepted, pending.value, false});
  log_line(log_level::info, k_part, "Configuration change accepted.",
           {{"key", pending.key}, {"revision", accepted}});
  co_return make_change(rpc::ChangeOutcome::ACCEPTED, accepted, pending.token);
}

service::change_reply service::apply_conflicting_write(change const& pending,
                                                       kv::transaction_answer const& answer) {
  kv::revision conflicting_revision = 0;
  for (kv::key_value const& entry : answer.read) {
    if (entry.key != pending.key) continue;
    conflicting_revision = entry.mod_revision;
    sync_.apply_committed({entry.key, entry.mod_revision, entry.value, false});
  }
  return make_change(rpc::ChangeOutcome::CONFLICT, conflicting_revision, {});
}

/// Determines the outcome of a write whose reply was lost by looking for the token of the write in
/// the stored value. Without a match the outcome remains unknown.
awaitable<service::change_reply> service::resolve_outcome(change pending) {
  for (int attempt = 0; attempt < k_read_back_attempts; ++attempt) {
    auto read = co_await kv_.range(pending.key);
    if (read && !read.value().entries.empty()) {
      kv::key_value const& entry = read.value().entries.front();
      if (has_token(entry.value, pending.token)) {
        sync_.apply_committed({entry.key, entry.mod_revision, entry.value, false});
        co_return make_change(rpc::ChangeOutcome::ACCEPTED, entry.mod_revision, pending.token);
      }
    }
    if (read) break;
    co_await wait_for(k_read_back_interval);
  }
  log_line(log_level::warning, k_part, "Outcome of a configuration change is unknown.",
           {{"key", pending.key}});
  co_return make_change(rpc::ChangeOutcome::UNKNOWN, 0, pending.token);
}

void service::add_configuration(rpc::GetStatusResponseT& status) const {
  for (auto const& [name, task] : store_.tasks()) {
    auto item = std::make_unique<rpc::TaskStatusT>();
    item->record = std::make_unique<rpc::TaskRecordT>(task.record);
    item->revision = task.revision;
    item->published_version = store_.published_version(name);
    item->version_revision = store_.version_revision(name);
    status.tasks.push_back(std::move(item));
  }
  for (auto const& [name, route] : store_.routes()) {
    auto item = std::make_unique<rpc::RouteStatusT>();
    item->record = std::make_unique<rpc::RouteRecordT>(route.record);
    item->revision = route.revision;
    status.routes.push_back(std::move(item));
  }
}

void service::add_nodes(rpc::GetStatusResponseT& status) const {
  auto const add = [&status](membership::member_update const& update) {
    auto item = std::make_unique<rpc::NodeStatusT>();
    item->id = update.id;
    item->zone = update.zone;
    item->address = update.http_address;
    item->state = rpc::EnumNameMemberState(update.state);
    item->incarnation = update.incarnation;
    status.nodes.push_back(std::move(item));
  };
  add(members_.self());
  for (auto const& [id, peer] : members_.members()) add(peer.update);
}

/// Adds engines of the machine list that no reachable node controls.
void service::add_uncontrolled_engines(rpc::GetStatusResponseT& status) const {
  std::set<std::string> controlled;
  for (auto const& engine : status.engines) controlled.insert(engine->id);
  for (auto const& [id, machine] : machines_.machines()) {
    if (machine.kind != machines::machine_kind::engine || controlled.contains(id)) continue;
    auto item = std::make_unique<rpc::EngineStatusT>();
    item->id = id;
    item->address = machine.address.to_string();
    item->zone = machine.zone;
    item->slots = machine.slots;
    item->state = "no_controller";
    status.engines.push_back(std::move(item));
  }
}

awaitable<void> service::add_from_peers(rpc::GetStatusResponseT& status) {
  std::vector<std::string> addresses;
  for (auto const& [id, peer] : members_.members()) {
    if (peer.is_alive()) addresses.push_back(peer.update.http_address);
  }
  rpc::GetStatusRequestT request;
  request.local_only = true;
  for (std::string const& address : addresses) {
    auto const peer_endpoint = parse_endpoint(address);
    if (!peer_endpoint) continue;
    auto answer = co_await rpc::call<rpc::GetStatusRequestT, rpc::GetStatusResponseT>(
        transport_, *peer_endpoint, "OperatorService", "GetStatus", request, k_peer_timeout);
    if (!answer) continue;
    auto& part = answer.value();
    std::move(part.engines.begin(), part.engines.end(), std::back_inserter(status.engines));
    std::move(part.shards.begin(), part.shards.end(), std::back_inserter(status.shards));
  }
}

awaitable<service::status_reply> service::status(rpc::GetStatusRequestT request) {
  rpc::GetStatusResponseT status;
  status.node = members_.self().id;
  status.config_revision = store_.revision();
  describe_local_(status);
  add_configuration(status);
  add_nodes(status);
  if (!request.local_only) {
    co_await add_from_peers(status);
    add_uncontrolled_engines(status);
  }
  co_return status;
}

}  // namespace frostline::operators
