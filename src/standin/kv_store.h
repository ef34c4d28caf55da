/// @file In-memory store with etcd v3's revisions, leases and history, for the key-value stand-in.
#pragma once

#include <map>
#include <optional>

#include "base/time.h"
#include "kv/types.h"

namespace frostline::standin {

/// Pure: time is passed in.
class kv_store {
 public:
  struct lease_state {
    seconds time_to_live{0};
    time_point expires;
  };

  kv::revision current_revision() const { return revision_; }
  kv::revision compacted_revision() const { return compacted_; }

  /// Keys in [key, range_end), or `key` alone, as they are now or were at `at` (0: now).
  kv::range_answer range(std::string const& key, std::string const& range_end,
                         kv::revision at = 0) const;
  /// Applies a transaction. @return nothing if it names a lease that does not exist.
  std::optional<kv::transaction_answer> apply(kv::transaction const& change);

  kv::lease_id grant(seconds time_to_live, time_point now);
  /// @return remaining seconds; 0 if the lease is gone.
  std::uint64_t keep_alive(kv::lease_id lease, time_point now);
  void revoke(kv::lease_id lease);
  /// Ends lapsed leases and removes their keys.
  void expire(time_point now);
  /// Gives all leases their full time again, as etcd does after an outage.
  void extend_leases(time_point now);

  /// Events of keys in [key, range_end) from revision `start` on.
  std::vector<kv::watch_event> events_since(std::string const& key, std::string const& range_end,
                                            kv::revision start) const;
  /// Forgets history below `revision`.
  void compact(kv::revision revision);

 private:
  bool holds(kv::compare const& condition) const;
  void put(kv::operation const& change);
  void remove(std::string const& key);
  void drop_lease_keys(kv::lease_id lease);
  std::map<std::string, kv::key_value> state_at(kv::revision at) const;

  std::map<std::string, kv::key_value> entries_;
  std::vector<kv::watch_event> history_;
  std::map<kv::lease_id, lease_state> leases_;
  kv::revision revision_ = 1;
  kv::revision compacted_ = 0;
  kv::lease_id next_lease_ = 1000;
};

/// Whether `key` lies in [first, range_end), or is `first` if `range_end` is empty.
bool in_range(std::string const& key, std::string const& first, std::string const& range_end);

}  // namespace frostline::standin
