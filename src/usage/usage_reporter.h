/// @file Brings the counts of all nodes together at the node that holds the duty, and has it report
/// each window once: a window's counts are stored before they are sent, and only what is stored is
/// sent, so that whoever follows sends the same.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "http/client.h"
#include "kv/record_store.h"
#include "ownership/owner_lease.h"
#include "schema/frostline_generated.h"
#include "usage/duty_service.h"
#include "usage/run_counter.h"
#include "usage/usage_ledger.h"

namespace frostline::usage {

/// References outlive the reporter.
struct reporter_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  http::client& transport;
  ownership::owner_lease& lease;
  duty_service& service;
  run_counter& counter;
  std::string node;
  ledger_options options;
};

struct reporter_counters {
  std::uint64_t windows_closed = 0;
  std::uint64_t windows_reported = 0;
  std::uint64_t reports_failed = 0;
  std::uint64_t windows_abandoned = 0;
  std::uint64_t calls_failed = 0;
};

/// standby -> loading (the lease was gained) -> active (the stored state is read) -> standby (the
/// lease is not held any more); loading -> standby.
enum class holder_state { standby, loading, active };

class usage_reporter {
 public:
  explicit usage_reporter(reporter_dependencies dependencies);

  void start();
  /// What a node has counted, this one included.
  rpc::UsageReplyT count(rpc::UsageCallT call);
  /// Tells the holder what is left, stores what this node holds, before the lease is handed on.
  /// Ends by `deadline`.
  awaitable<void> finish(time_point deadline);

  holder_state state() const { return state_; }
  reporter_counters const& counters() const { return counters_; }
  std::uint64_t late() const { return ledger_.late(); }

  /// Key of the stored state.
  static std::string state_key();

 private:
  awaitable<void> tell_loop();
  bool is_time_to_tell(time_point now) const;
  /// One call to the holder, if one is known.
  awaitable<void> tell_holder(milliseconds timeout);
  awaitable<void> hold_loop();
  awaitable<void> load();
  void close_windows(time_point now);
  awaitable<void> store_state();
  awaitable<void> write_state();
  /// Reads whether a write without a good answer took effect.
  awaitable<void> take_stored(kv::revision& revision, std::string const& token, bool& stored);
  awaitable<void> report_stored();
  bool is_given_up(std::uint64_t window, time_point now) const;

  reporter_dependencies dependencies_;
  usage_ledger ledger_;
  std::string incarnation_;
  holder_state state_ = holder_state::standby;
  /// Epoch of this node's lease that the state was loaded for.
  std::uint64_t epoch_ = 0;
  time_point loaded_at_{};
  kv::revision state_revision_ = 0;
  time_point stored_at_{};
  /// Closed windows that are in the stored state.
  std::set<std::uint64_t> stored_windows_;
  /// What the holder of `told_epoch_` has counted of this node.
  std::uint64_t told_epoch_ = 0;
  std::uint64_t told_to_ = 0;
  time_point told_at_{};
  bool telling_ = false;
  bool storing_ = false;
  bool leaving_ = false;
  reporter_counters counters_;
};

}  // namespace frostline::usage
