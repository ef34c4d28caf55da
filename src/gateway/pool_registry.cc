#include "gateway/pool_registry.h"

#include <algorithm>

#include "base/log.h"
#include "jobs/pool_mark.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";

}  // namespace

bool pool_registry::has_memory(std::size_t bytes) const {
  std::size_t const held = job_bytes();
  // One job is taken whatever its size: the limits of a request and of the store bound it.
  return held == 0 || held + bytes <= dependencies_.all_settings.memory / k_memory_divisor;
}

std::size_t pool_registry::job_bytes() const {
  std::size_t bytes = 0;
  for (auto const& [name, pool] : all_) bytes += pool.owner->job_bytes();
  return bytes;
}

jobs::pool& pool_registry::make(std::string const& name) {
  jobs::pool& pool = all_[name];
  if (pool.lease) return pool;
  settings const& node_settings = dependencies_.all_settings;
  ownership::owner_lease_options options;
  options.node = node_settings.id;
  options.address = node_settings.peers;
  options.claim_delay = ownership::claim_delay_of(node_settings.processor_share);
  options.time_to_live = std::max(options.time_to_live, node_settings.store_limits.shortest_lease);
  pool.lease = std::make_unique<ownership::owner_lease>(
      dependencies_.context, dependencies_.adapter.store(), name, std::move(options));
  pool.lease->set_order_gap(node_settings.order_gap);
  auto const orderer = orderers_.find(name);
  if (orderer != orderers_.end()) pool.lease->note_orderer(orderer->second);
  pool.owner = std::make_unique<jobs::pool_owner>(jobs::pool_owner_dependencies{
      dependencies_.context, dependencies_.adapter.store(), node_settings.store_limits,
      dependencies_.configuration, dependencies_.servers, dependencies_.connections,
      dependencies_.forwarder, dependencies_.adapter.names(), dependencies_.adapter.engines(),
      *pool.lease, dependencies_.transport, node_settings.id, node_settings.zone,
      node_settings.retention, [this, name] { return other_pools(name); },
      [this, name] { return dependencies_.enabled_features.orders_by_due_time(name); },
      [this, name] { return dependencies_.enabled_features.plans_memory(name); },
      [this](std::size_t bytes) { return has_memory(bytes); }});
  pool.owner->note_pool_mark(marked_.contains(name));
  pool.owner->start();
  return pool;
}

void pool_registry::ensure_pool(std::string const& name) {
  if (all_.contains(name)) return;
  jobs::pool& pool = make(name);
  if (owners_known_ && !pool.lease->owner()) pool.lease->note_record(nullptr);
  pool.lease->start();
}

void pool_registry::take_mark(std::string const& pool, bool exists) {
  if (exists) {
    marked_.insert(pool);
    if (!all_.contains(pool)) {
      log_line(log_level::info, k_part, "Pool is known by its jobs.", {{"pool", pool}});
    }
    ensure_pool(pool);
  } else {
    marked_.erase(pool);
  }
  auto const known = all_.find(pool);
  if (known != all_.end()) known->second.owner->note_pool_mark(exists);
}

void pool_registry::ensure(calls::configuration const& wanted) {
  for (auto const& [name, service] : wanted.services) {
    if (service.engines) ensure_pool(name);
  }
}

void pool_registry::take_owner(std::string const& key, kv::key_value const* record) {
  if (auto const pool = jobs::pool_of_mark(key)) {
    take_mark(*pool, record != nullptr);
    return;
  }
  std::string const name = key.substr(ownership::owner_lease::owners_prefix().size());
  if (name.starts_with(ownership::k_duties_prefix)) return;
  if (auto const pool = ownership::owner_lease::resource_of_orderer_key(key)) {
    if (record == nullptr) return;
    orderers_[*pool] = *record;
    auto const known = all_.find(*pool);
    if (known != all_.end()) known->second.lease->note_orderer(*record);
    return;
  }
  bool const is_new = !all_.contains(name);
  // The record may belong to a pool that this node's configuration does not name yet.
  jobs::pool& pool = make(name);
  pool.lease->note_record(record);
  if (is_new) pool.lease->start();
}

void pool_registry::take_owners(kv::range_answer const& records) {
  owners_known_ = true;
  marked_.clear();
  for (auto& [name, pool] : all_) pool.owner->note_pool_mark(false);
  for (kv::key_value const& record : records.entries) take_owner(record.key, &record);
  for (auto& [name, pool] : all_) {
    std::string const key = ownership::owner_lease::key_of(name);
    bool const listed = std::any_of(records.entries.begin(), records.entries.end(),
                                    [&](kv::key_value const& entry) { return entry.key == key; });
    if (!listed) pool.lease->note_record(nullptr);
  }
}

std::vector<std::string> pool_registry::other_pools(std::string const& name) const {
  std::vector<std::string> others;
  for (auto const& [other, pool] : all_) {
    if (other != name) others.push_back(other);
  }
  return others;
}

bool pool_registry::owns_any() const {
  return std::any_of(all_.begin(), all_.end(), [](auto const& entry) {
    return entry.second.lease->state() == ownership::lease_state::owner;
  });
}

bool pool_registry::needs_engines() const {
  return std::any_of(all_.begin(), all_.end(), [](auto const& entry) {
    bool const owned = entry.second.lease->state() == ownership::lease_state::owner;
    return owned || entry.second.owner->state() != jobs::owner_state::standby;
  });
}

std::optional<endpoint> pool_registry::other_owner() const {
  for (auto const& [name, pool] : all_) {
    auto const& owner = pool.lease->owner();
    if (owner && owner->node != dependencies_.all_settings.id) return owner->address;
  }
  return std::nullopt;
}

void pool_registry::notify() {
  for (auto& [name, pool] : all_) pool.owner->notify();
}

void pool_registry::note_servers(std::vector<std::string> const& ids) {
  for (auto& [name, pool] : all_) pool.owner->note_servers(ids);
}

void pool_registry::set_order_gap(milliseconds gap) {
  for (auto& [name, pool] : all_) pool.lease->set_order_gap(gap);
}

void pool_registry::name_version(std::string const& model, std::uint64_t version) {
  for (auto& [name, pool] : all_) pool.owner->orders().name_version(model, version);
  notify();
}

awaitable<void> pool_registry::release(time_point deadline) {
  for (auto& [name, pool] : all_) {
    co_await pool.owner->flush(deadline);
    co_await pool.lease->release();
  }
}

void pool_registry::add_methods(rpc::dispatcher& methods) {
  methods.add<rpc::JobCallT, rpc::JobReplyT>(
      "JobService", "Call", [this](rpc::JobCallT call) -> awaitable<rpc::reply<rpc::JobReplyT>> {
        auto const found = all_.find(call.pool);
        rpc::JobReplyT reply;
        reply.status = rpc::JobStatus::UNAVAILABLE;
        if (found != all_.end()) reply = co_await found->second.owner->handle(std::move(call));
        co_return std::move(reply);
      });
  methods.add<rpc::ProgressReportT, rpc::ProgressReplyT>(
      "JobService", "Replicate",
      [this](rpc::ProgressReportT report) -> awaitable<rpc::reply<rpc::ProgressReplyT>> {
        auto const found = all_.find(report.pool);
        rpc::ProgressReplyT reply;
        if (found != all_.end()) reply = found->second.owner->replicate(std::move(report));
        co_return reply;
      });
}

}  // namespace frostline::gateway
