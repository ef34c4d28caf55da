#include "gateway/duties.h"

#include <algorithm>

namespace frostline::gateway {
namespace {

/// Name of the leased resource; one lease covers all duties.
constexpr std::string_view k_resource_name = "platform";
/// Time reserved before a report is due, to store it and to send it, with retries.
constexpr milliseconds k_report_margin{3000};

std::string resource() {
  return std::string(ownership::k_duties_prefix) + std::string(k_resource_name);
}

ownership::owner_lease_options lease_options(settings const& node_settings) {
  ownership::owner_lease_options options;
  options.node = node_settings.id;
  options.address = node_settings.peers;
  options.claim_delay = ownership::claim_delay_of(node_settings.processor_share);
  options.time_to_live = std::max(options.time_to_live, node_settings.store_limits.shortest_lease);
  return options;
}

usage::ledger_options ledger_options(settings const& node_settings) {
  usage::ledger_options options;
  options.window = node_settings.usage_window;
  // If usage_late is too short for this reserve, half of it is reserved instead.
  options.max_wait = node_settings.usage_late > 2 * k_report_margin
                         ? node_settings.usage_late - k_report_margin
                         : node_settings.usage_late / 2;
  return options;
}

}  // namespace

duties::duties(duties_dependencies dependencies)
    : lease_(dependencies.context, dependencies.store, resource(),
             lease_options(dependencies.all_settings)),
      reporter_(usage::reporter_dependencies{dependencies.context, dependencies.store,
                                             dependencies.transport, lease_, dependencies.service,
                                             dependencies.counter, dependencies.all_settings.id,
                                             ledger_options(dependencies.all_settings)}) {
  lease_.set_order_gap(dependencies.all_settings.order_gap);
}

void duties::start() {
  lease_.start();
  reporter_.start();
}

void duties::take_owner(std::string const& key, kv::key_value const* record) {
  if (key == ownership::owner_lease::orderer_key_of(resource())) {
    if (record != nullptr) lease_.note_orderer(*record);
  } else if (key == ownership::owner_lease::key_of(resource())) {
    lease_.note_record(record);
  }
}

void duties::take_owners(kv::range_answer const& records) {
  for (kv::key_value const& record : records.entries) take_owner(record.key, &record);
  std::string const key = ownership::owner_lease::key_of(resource());
  bool const listed = std::any_of(records.entries.begin(), records.entries.end(),
                                  [&](kv::key_value const& record) { return record.key == key; });
  if (!listed) lease_.note_record(nullptr);
}

void duties::add_methods(rpc::dispatcher& methods) {
  methods.add<rpc::UsageCallT, rpc::UsageReplyT>(
      "UsageService", "Count",
      [this](rpc::UsageCallT call) -> awaitable<rpc::reply<rpc::UsageReplyT>> {
        co_return reporter_.count(std::move(call));
      });
}

awaitable<void> duties::release(time_point deadline) {
  co_await reporter_.finish(deadline);
  co_await lease_.release();
}

}  // namespace frostline::gateway
