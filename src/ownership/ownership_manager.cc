#include "ownership/ownership_manager.h"

#include "base/log.h"
#include "rpc/codec.h"

namespace frostline::ownership {
namespace {

constexpr std::string_view k_part = "ownership";
constexpr seconds k_lease_time_to_live{10};
constexpr milliseconds k_keep_alive_interval{3000};
constexpr milliseconds k_lease_retry_interval{500};
constexpr milliseconds k_plan_interval{250};
constexpr milliseconds k_rebalance_interval{1000};

}  // namespace

ownership_manager::ownership_manager(asio::io_context& context, kv::client& service,
                                     config::store const& store, config::sync& sync,
                                     membership::table const& members, identity self,
                                     std::string address,
                                     std::function<std::vector<resource>()> list_resources)
    : context_(context),
      service_(service),
      store_(store),
      sync_(sync),
      members_(members),
      self_(std::move(self)),
      list_resources_(std::move(list_resources)) {
  rpc::OwnerRecordT record;
  record.node = self_.node;
  record.incarnation = self_.incarnation;
  record.address = std::move(address);
  record_ = rpc::encode(record);
}

void ownership_manager::start() {
  spawn(context_, lease_loop());
  spawn(context_, acquire_loop());
}

config::store::owner_entry const* ownership_manager::find_owner(std::string const& key) const {
  if (key.starts_with(config::k_shard_owners)) {
    return store_.find_shard_owner(key.substr(config::k_shard_owners.size()));
  }
  return store_.find_engine_owner(key.substr(config::k_engine_owners.size()));
}

kv::revision ownership_manager::epoch_of(std::string const& key) const {
  config::store::owner_entry const* owner = find_owner(key);
  if (owner == nullptr || !is_self(owner->record, self_)) return 0;
  return owner->revision;
}

awaitable<void> ownership_manager::lease_loop() {
  while (!stopping_) {
    if (lease_ == 0) {
      auto granted = co_await service_.grant_lease(k_lease_time_to_live);
      if (granted) lease_ = granted.value();
    } else {
      auto kept = co_await service_.keep_alive(lease_);
      if (!kept && kept.error() == kv::errc::lease_expired) {
        log_line(log_level::warning, k_part, "Lease expired.", {{"lease", lease_}});
        lease_ = 0;
      }
    }
    co_await wait_for(lease_ == 0 ? k_lease_retry_interval : k_keep_alive_interval);
  }
}

awaitable<void> ownership_manager::acquire_loop() {
  while (!stopping_) {
    if (lease_ != 0 && store_.is_complete()) {
      std::vector<resource> const resources = list_resources_();
      std::map<std::string, config::store::owner_entry const*> owner_of;
      for (resource const& wanted : resources) owner_of[wanted.key] = find_owner(wanted.key);
      auto const plan = plan_acquisitions(resources, self_, members_, owner_of);
      for (acquisition const& planned : plan) {
        if (stopping_ || lease_ == 0) break;
        co_await acquire(planned);
      }
      co_await rebalance(resources);
    }
    co_await wait_for(k_plan_interval);
  }
}

awaitable<void> ownership_manager::rebalance(std::vector<resource> const& resources) {
  if (boot_clock::now() < next_rebalance_) co_return;
  next_rebalance_ = boot_clock::now() + k_rebalance_interval;
  std::vector<std::string> held;
  for (resource const& wanted : resources) {
    if (epoch_of(wanted.key) != 0) held.push_back(wanted.key);
  }
  auto excess = plan_release(resources, held, self_, members_);
  if (excess) co_await release(std::move(*excess));
}

awaitable<void> ownership_manager::release(std::string key) {
  kv::transaction change;
  change.compares.push_back({key, epoch_of(key)});
  change.on_success.push_back({kv::operation_kind::remove, key, {}, 0});
  auto answer = co_await service_.apply(std::move(change));
  bool const done = answer && answer.value().succeeded;
  if (!done) co_return;  // the watch delivers the actual state
  log_line(log_level::info, k_part, "Released a resource for another node.", {{"key", key}});
  sync_.apply_committed({key, answer.value().store_revision, {}, true});
}

void ownership_manager::note_owned(std::string const& key, kv::revision epoch) {
  log_line(log_level::info, k_part, "Became owner.", {{"key", key}, {"epoch", epoch}});
  sync_.apply_committed({key, epoch, record_, false});
}

awaitable<void> ownership_manager::acquire(acquisition target) {
  kv::transaction change;
  change.compares.push_back({target.key, target.expected});
  change.on_success.push_back({kv::operation_kind::put, target.key, record_, lease_});
  auto answer = co_await service_.apply(std::move(change));
  if (answer && answer.value().succeeded) {
    note_owned(target.key, answer.value().store_revision);
    co_return;
  }
  bool const in_doubt = !answer && answer.error() == kv::errc::outcome_unknown;
  if (in_doubt) co_await read_back(target.key);
}

/// Reads the record after a write with unknown outcome, to learn whether this process wrote it.
awaitable<void> ownership_manager::read_back(std::string key) {
  auto read = co_await service_.range(key);
  if (!read || read.value().entries.empty()) co_return;
  kv::key_value const& held = read.value().entries.front();
  if (held.value == record_) note_owned(key, held.mod_revision);
}

awaitable<void> ownership_manager::release_all() {
  stopping_ = true;
  if (lease_ == 0) co_return;
  auto revoked = co_await service_.revoke(lease_);
  bool const done = revoked.has_value();
  log_line(log_level::info, k_part, "Released all owned resources.", {{"done", done}});
}

}  // namespace frostline::ownership
