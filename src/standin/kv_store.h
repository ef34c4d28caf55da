/// @file In-memory store with the revisions, leases and history of etcd v3.
#pragma once

#include <map>
#include <optional>

#include "base/time.h"
#include "kv/types.h"

namespace frostline::standin {

/// Reads no clock: the caller passes the time in.
class kv_store {
 public:
  struct lease_state {
    seconds time_to_live{0};
    time_point expires;
  };

  kv::revision current_revision() const { return revision_; }
  kv::revision compacted_revision() const { return compacted_; }

  /// Returns the keys in [key, range_end), or just `key` if `range_end` is empty, as of revision
  /// `at` (0 for the current one).
  kv::range_answer range(std::string const& key, std::string const& range_end,
                         kv::revision at = 0) const;
  /// Applies a transaction. @return nothing if it names a lease that does not exist.
  std::optional<kv::transaction_answer> apply(kv::transaction const& change);

  kv::lease_id grant(seconds time_to_live, time_point now);
  /// Renews a lease. @return its time to live in seconds; 0 if the lease doesn't exist.
  std::uint64_t keep_alive(kv::lease_id lease, time_point now);
  void revoke(kv::lease_id lease);
  /// Revokes expired leases, which deletes their keys.
  void expire(time_point now);
  /// Resets all leases to their full time to live, as etcd does after an outage.
  void extend_leases(time_point now);

  /// Returns the events of keys in [key, range_end) since revision `start`, inclusive.
  std::vector<kv::watch_event> events_since(std::string const& key, std::string const& range_end,
                                            kv::revision start) const;
  /// Drops the history before `revision`.
  void compact(kv::revision revision);

 private:
  bool matches(kv::compare const& condition) const;
  void put(kv::operation const& change);
  void remove(std::string const& key);
  void delete_lease_keys(kv::lease_id lease);
  std::map<std::string, kv::key_value> state_at(kv::revision at) const;

  std::map<std::string, kv::key_value> entries_;
  std::vector<kv::watch_event> history_;
  std::map<kv::lease_id, lease_state> leases_;
  kv::revision revision_ = 1;
  kv::revision compacted_ = 0;
  kv::lease_id next_lease_ = 1000;
};

/// Returns true if `key` is in [first, range_end), or equals `first` if `range_end` is empty.
bool in_range(std::string const& key, std::string const& first, std::string const& range_end);

}  // namespace frostline::standin
