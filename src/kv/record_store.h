/// @file What the product asks of a store of small records: compare-and-swap, leases and watches.
/// `kv::client` speaks etcd's protocol; other stores implement this interface.
#pragma once

#include <string>

#include "base/asio.h"
#include "kv/errc.h"
#include "kv/types.h"

namespace frostline::kv {

/// What a store can hold and take, as the settings say.
struct store_limits {
  std::size_t value_bytes = 1 << 20;
  std::size_t operations_per_transaction = 32;
  milliseconds shortest_lease{1000};
};

/// All calls are linearizable unless they say otherwise. Errors are of kv::errc; a transaction that
/// fails with errc::outcome_unknown may have been applied, or may still be if its comparisons hold
/// then.
class record_store {
 public:
  virtual ~record_store() = default;

  /// All records whose keys begin with `prefix`. Pages are read one after the other, so records may
  /// be newer than `store_revision`, which is that of the first page.
  virtual awaitable<result<range_answer>> list(std::string prefix) = 0;
  /// Whether there are more records than one answer of the store holds. The answer may be old.
  virtual awaitable<result<bool>> exceeds_one_page(std::string prefix) = 0;
  /// @param timeout after which the outcome counts as unknown.
  virtual awaitable<result<transaction_answer>> apply(transaction change, milliseconds timeout) = 0;
  /// Waits up to `wait` for changes of `prefix` after `after`. An answer without events moves
  /// `store_revision` on. errc::watch_silent if none came in time.
  virtual awaitable<result<watch_batch>> watch(std::string prefix, revision after,
                                               milliseconds wait) = 0;
  virtual awaitable<result<lease_id>> grant_lease(milliseconds time_to_live) = 0;
  /// @return the time to live in force, or errc::lease_expired.
  virtual awaitable<result<milliseconds>> renew_lease(lease_id lease) = 0;
  virtual awaitable<result<bool>> end_lease(lease_id lease) = 0;
  /// Whether the store answers at all, by its cheapest call. The answer may be old.
  virtual awaitable<result<bool>> probe(milliseconds timeout) = 0;
};

}  // namespace frostline::kv
