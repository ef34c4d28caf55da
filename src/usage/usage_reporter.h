/// @file Collects the counts of all nodes at the duty holder, which reports each window once. The
/// counts of a window are stored before they are sent, so that a new holder sends the same report.
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

/// References must outlive the reporter.
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

/// standby -> loading (lease acquired) -> active (stored state read) -> standby (lease lost);
/// loading -> standby.
enum class holder_state { standby, loading, active };

class usage_reporter {
 public:
  explicit usage_reporter(reporter_dependencies dependencies);

  void start();
  /// Adds the counts sent by a node, which may be this one. Ignores them unless this node is the
  /// active holder.
  rpc::UsageReplyT count(rpc::UsageCallT call);
  /// Sends the remaining counts to the holder and, if this node is the holder, stores its state
  /// before the lease is released. Waits for calls and writes in progress until `deadline`; the
  /// last call and write may end later.
  awaitable<void> finish(time_point deadline);

  holder_state state() const { return state_; }
  reporter_counters const& counters() const { return counters_; }
  std::uint64_t late() const { return ledger_.late(); }

  static std::string state_key();

 private:
  awaitable<void> send_loop();
  bool is_send_due(time_point now) const;
  /// Sends counts that the holder has not acknowledged, if there is a holder.
  awaitable<void> send_counts(milliseconds timeout);
  awaitable<void> holder_loop();
  awaitable<void> load();
  void close_windows(time_point now);
  awaitable<void> store_state();
  awaitable<void> write_state();
  /// Reads the state back to find out whether a failed write took effect after all.
  awaitable<void> read_back_state(kv::revision& revision, std::string const& token, bool& stored);
  awaitable<void> report_stored();
  bool is_abandoned(std::uint64_t window, time_point now) const;

  reporter_dependencies dependencies_;
  usage_ledger ledger_;
  std::string incarnation_;
  holder_state state_ = holder_state::standby;
  /// Lease epoch for which the state was loaded.
  std::uint64_t epoch_ = 0;
  time_point loaded_at_{};
  kv::revision state_revision_ = 0;
  time_point stored_at_{};
  /// Closed windows that are part of the stored state.
  std::set<std::uint64_t> stored_windows_;
  /// Last epoch in which a holder acknowledged counts, and the sequence it acknowledged.
  std::uint64_t acknowledged_epoch_ = 0;
  std::uint64_t acknowledged_sequence_ = 0;
  time_point last_sent_at_{};
  bool sending_ = false;
  bool storing_ = false;
  bool leaving_ = false;
  reporter_counters counters_;
};

}  // namespace frostline::usage
