/// @file What one node at a time does for the whole system towards its platform: which node that
/// is, and its reports of usage.
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

/// References outlive the duties.
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
  /// The owners' records, whole.
  void take_owners(kv::range_answer const& records);
  /// @param record null: the record is gone.
  void take_owner(std::string const& key, kv::key_value const* record);
  void set_order_gap(milliseconds gap) { lease_.set_order_gap(gap); }
  bool is_holder() const { return lease_.state() == ownership::lease_state::owner; }
  /// Registers what other nodes call.
  void add_methods(rpc::dispatcher& methods);
  /// Tells and stores what is left by `deadline`, and hands the duties on.
  awaitable<void> release(time_point deadline);
  usage::usage_reporter const& reporter() const { return reporter_; }

 private:
  ownership::owner_lease lease_;
  usage::usage_reporter reporter_;
};

}  // namespace frostline::gateway
