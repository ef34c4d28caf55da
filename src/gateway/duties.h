/// @file Duties towards the platform that one node at a time performs for the whole system: the
/// lease that selects the node, and the usage reports.
#pragma once

#include <string>

#include "base/asio.h"
#include "gateway/settings.h"
#include "http/client.h"
#include "kv/record_store.h"
#include "ownership/owner_lease.h"
#include "rpc/dispatcher.h"
#include "usage/usage_reporter.h"

namespace frostline::gateway {

/// References must outlive the duties object.
struct duties_dependencies {
  asio::io_context& context;
  settings const& all_settings;
  kv::record_store& store;
  http::client& transport;
  usage::duty_service& service;
  usage::run_counter& counter;
};

class duties {
 public:
  explicit duties(duties_dependencies dependencies);

  void start();
  /// Takes a complete snapshot of the owners' records.
  void take_owners(kv::range_answer const& records);
  /// @param record null if the record was deleted.
  void take_owner(std::string const& key, kv::key_value const* record);
  void set_order_gap(milliseconds gap) { lease_.set_order_gap(gap); }
  bool is_holder() const { return lease_.state() == ownership::lease_state::owner; }
  /// Registers the RPC methods for other nodes.
  void add_methods(rpc::dispatcher& methods);
  /// Sends or stores the remaining usage, see `usage_reporter::finish`, then releases the lease.
  awaitable<void> release(time_point deadline);
  usage::usage_reporter const& reporter() const { return reporter_; }

 private:
  ownership::owner_lease lease_;
  usage::usage_reporter reporter_;
};

}  // namespace frostline::gateway
