#include "gateway/pools.h"

#include <algorithm>

namespace frostline::gateway {

jobs::pool& pools::make(std::string const& name) {
  jobs::pool& one = all_[name];
  if (one.lease) return one;
  settings const& own = dependencies_.all_settings;
  ownership::owner_lease_options options;
  options.node = own.id;
  options.address = own.peers;
  options.claim_delay = ownership::claim_delay_of(own.processor_share);
  options.time_to_live = std::max(options.time_to_live, own.store_limits.shortest_lease);
  one.lease = std::make_unique<ownership::owner_lease>(
      dependencies_.context, dependencies_.adapter.store(), name, std::move(options));
  one.lease->set_order_gap(own.order_gap);
  auto const orderer = orderers_.find(name);
  if (orderer != orderers_.end()) one.lease->note_orderer(orderer->second);
  one.owner = std::make_unique<jobs::pool_owner>(jobs::pool_owner_dependencies{
      dependencies_.context, dependencies_.adapter.store(), own.store_limits,
      dependencies_.configuration, dependencies_.servers, dependencies_.connections,
      dependencies_.forwarder, dependencies_.quarantine, dependencies_.adapter.names(),
      dependencies_.adapter.engines(), *one.lease, dependencies_.transport, own.id, own.zone,
      own.retention});
  one.owner->start();
  return one;
}

void pools::ensure(calls::configuration const& wanted) {
  for (auto const& [name, service] : wanted.services) {
    if (!service.engines || all_.contains(name)) continue;
    jobs::pool& one = make(name);
    if (owners_known_ && !one.lease->owner()) one.lease->note_record(nullptr);
    one.lease->start();
  }
}

void pools::take_owner(std::string const& key, kv::key_value const* record) {
  std::string const name = key.substr(ownership::owner_lease::owners_prefix().size());
  if (name.starts_with(ownership::k_duties_prefix)) return;
  if (auto const pool = ownership::owner_lease::resource_of_orderer_key(key)) {
    if (record == nullptr) return;
    orderers_[*pool] = *record;
    auto const known = all_.find(*pool);
    if (known != all_.end()) known->second.lease->note_orderer(*record);
    return;
  }
  bool const fresh = !all_.contains(name);
  // A pool may be older than the configuration that this node knows.
  jobs::pool& one = make(name);
  one.lease->note_record(record);
  if (fresh) one.lease->start();
}

void pools::take_owners(kv::range_answer const& records) {
  owners_known_ = true;
  for (kv::key_value const& one : records.entries) take_owner(one.key, &one);
  for (auto& [name, one] : all_) {
    std::string const key = ownership::owner_lease::key_of(name);
    bool const listed = std::any_of(records.entries.begin(), records.entries.end(),
                                    [&](kv::key_value const& entry) { return entry.key == key; });
    if (!listed) one.lease->note_record(nullptr);
  }
}

bool pools::owns_any() const {
  return std::any_of(all_.begin(), all_.end(), [](auto const& entry) {
    return entry.second.lease->state() == ownership::lease_state::owner;
  });
}

bool pools::needs_engines() const {
  return std::any_of(all_.begin(), all_.end(), [](auto const& entry) {
    bool const owned = entry.second.lease->state() == ownership::lease_state::owner;
    return owned || entry.second.owner->state() != jobs::owner_state::standby;
  });
}

std::optional<endpoint> pools::other_owner() const {
  for (auto const& [name, one] : all_) {
    auto const& owner = one.lease->owner();
    if (owner && owner->node != dependencies_.all_settings.id) return owner->address;
  }
  return std::nullopt;
}

void pools::notify() {
  for (auto& [name, one] : all_) one.owner->notify();
}

void pools::note_servers(std::vector<std::string> const& ids) {
  for (auto& [name, one] : all_) one.owner->note_servers(ids);
}

void pools::set_order_gap(milliseconds gap) {
  for (auto& [name, one] : all_) one.lease->set_order_gap(gap);
}

void pools::name_version(std::string const& model, std::uint64_t version) {
  for (auto& [name, one] : all_) one.owner->orders().name_version(model, version);
  notify();
}

awaitable<void> pools::release(time_point deadline) {
  for (auto& [name, one] : all_) {
    co_await one.owner->flush(deadline);
    co_await one.lease->release();
  }
}

void pools::add_methods(rpc::dispatcher& methods) {
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
