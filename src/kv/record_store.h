/// @file Interface of a store for small records with transactions, leases and watches.
#pragma once

#include <string>

#include "base/asio.h"
#include "kv/errc.h"
#include "kv/types.h"

namespace frostline::kv {

/// Limits of a store, taken from the settings.
struct store_limits {
  std::size_t value_bytes = 1 << 20;
  std::size_t key_bytes = 200;
  std::size_t operations_per_transaction = 32;
  milliseconds shortest_lease{1000};
};

/// All calls are linearizable unless documented otherwise and report errors as kv::errc. A
/// transaction that fails with errc::outcome_unknown may have been applied, or may still be applied
/// later if its comparisons hold at that time.
class record_store {
 public:
  virtual ~record_store() = default;

  /// Reads all records whose keys begin with `prefix`. Pages are read one after another, so records
  /// may be newer than `store_revision`, which is the revision of the first page.
  virtual awaitable<result<range_answer>> list(std::string prefix) = 0;
  /// Returns true if there are more records than fit into one page. The answer may be stale.
  virtual awaitable<result<bool>> exceeds_one_page(std::string prefix) = 0;
  /// @param timeout after which the call fails with errc::outcome_unknown.
  virtual awaitable<result<transaction_answer>> apply(transaction change, milliseconds timeout) = 0;
  /// Waits up to `wait` for changes below `prefix` after revision `after`. `store_revision` of the
  /// answer may be newer than `after` even if there are no events. Fails with errc::watch_silent if
  /// no answer arrives in time.
  virtual awaitable<result<watch_batch>> watch(std::string prefix, revision after,
                                               milliseconds wait) = 0;
  virtual awaitable<result<lease_id>> grant_lease(milliseconds time_to_live) = 0;
  /// @return the time to live that the store applied, or errc::lease_expired.
  virtual awaitable<result<milliseconds>> renew_lease(lease_id lease) = 0;
  virtual awaitable<result<bool>> end_lease(lease_id lease) = 0;
  /// Checks that the store answers within `timeout`, using a cheap read that may be stale. Fails
  /// with an error if it does not.
  virtual awaitable<result<bool>> probe(milliseconds timeout) = 0;
};

}  // namespace frostline::kv
