/// @file Ownership of a resource on which one node at a time may act: a pool of engines (its batch
/// jobs and the orders to its engines), or the system's calls to its platform. Ownership is a
/// record bound to a lease in the record store; the revision of that record is the owner's epoch.
///
/// A second record, the orderer's, is not bound to the lease: it names the node that was last
/// entitled to give orders. An owner writes it before its first order, and acquires the resource
/// only if the orderer's record is unchanged. The last orderer may therefore give orders
/// immediately when it acquires the resource again. Any other node waits until no order of the last
/// orderer can be in flight. If the waiting node may itself have given orders earlier, it also
/// waits until the order gap has passed since then, so that orders of two nodes do not alternate.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "base/endpoint.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::ownership {

/// standby -> acquiring -> owner -> lapsed; acquiring -> standby; lapsed -> acquiring unless
/// released.
enum class lease_state { standby, acquiring, owner, lapsed };

struct known_owner {
  std::string node;
  endpoint address;
  std::uint64_t epoch = 0;
};

struct owner_lease_options {
  std::string node;
  endpoint address;
  milliseconds time_to_live{1500};
  milliseconds renewal_interval{400};
  /// A renewal without an answer for this long is sent again.
  milliseconds renewal_timeout{150};
  /// This node treats the lease as expired this long before the store does.
  milliseconds safety_margin{150};
  /// Additional delay before acquiring a free resource, for nodes with a small processor share.
  milliseconds claim_delay{0};
};

/// Resources with this name prefix are duties: work that one node at a time does for the whole
/// system. All other resources are pools.
inline constexpr std::string_view k_duties_prefix = "duties/";

/// Returns the claim delay of a node that may use `processor_share` processor cores.
milliseconds claim_delay_of(double processor_share);

/// Acquires and keeps the ownership of one resource. Orders are any requests that only one node at
/// a time may send.
class owner_lease {
 public:
  owner_lease(asio::io_context& context, kv::record_store& store, std::string resource,
              owner_lease_options options);

  /// Key of a resource's owner record, which starts with `owners_prefix`.
  static std::string key_of(std::string const& resource);
  static std::string owners_prefix();
  /// Key of a resource's orderer record.
  static std::string orderer_key_of(std::string const& resource);
  /// Returns the resource if `key` is that of an orderer record.
  static std::optional<std::string> resource_of_orderer_key(std::string const& key);

  void start();
  /// Takes the owner record as delivered by the watcher of the owners' records; null if there is
  /// none.
  void note_record(kv::key_value const* record);
  /// Takes the orderer record as delivered by the watcher of the owners' records.
  void note_orderer(kv::key_value const& record);
  /// Ends the lease and never acquires the resource again.
  awaitable<void> release();

  /// Returns true if this node may act as owner: its lease cannot have expired at the store.
  bool holds(time_point now) const;
  /// Send time of the last request by which the store confirmed the lease; time_point::min() if
  /// there was none.
  time_point confirmed_at() const { return confirmed_at_; }
  lease_state state() const { return state_; }
  std::uint64_t epoch() const { return epoch_; }
  /// Earliest time for the first order in this epoch.
  time_point orders_from() const { return orders_from_; }
  /// Returns true if this node may give an order now.
  bool may_order(time_point now) const;
  /// Sets whether this node holds a replica of the owner's progress, and therefore tries to acquire
  /// the resource before nodes without one.
  void set_preferred(bool preferred) { preferred_ = preferred; }
  /// Sets the minimum time from the end of this node's previous ownership to its next order if
  /// another node is the last orderer.
  void set_order_gap(milliseconds gap) { order_gap_ = gap; }
  std::optional<known_owner> const& owner() const { return owner_; }
  std::string const& resource() const { return resource_; }

  /// Sets callbacks: `gained` is called when this node becomes owner, `lost` when it stops.
  void on_change(std::function<void()> gained, std::function<void()> lost);
  /// Waits until the known owner or this node's state may have changed, or until `deadline`.
  awaitable<void> wait_for_change(time_point deadline) { return changed_.wait_until(deadline); }

 private:
  awaitable<void> run();
  awaitable<void> try_acquire();
  milliseconds acquisition_delay() const;
  /// Writes the owner record and returns true if this node became owner.
  /// @param replaced revision of a record left by a previous process of this node; 0 if none.
  awaitable<bool> create_record(kv::revision replaced);
  /// Waits until the next renewal is due, then sends renewals until one is answered.
  awaitable<void> renew();
  awaitable<void> renew_once(kv::lease_id lease);
  void become_owner(std::uint64_t epoch);
  time_point first_order_time(time_point now) const;
  bool ordered_last() const { return last_orderer_ == options_.node; }
  /// Writes the orderer record. Called when the first order is due, and until a write is confirmed.
  awaitable<void> become_orderer();
  /// Applies the current records that the store returned with a refused transaction.
  void apply_current_records(std::vector<kv::key_value> const& records);
  void apply_owner_record(kv::key_value const* record);
  /// Forgets an owner that was seen only in the store's reply to a refused transaction, if the
  /// store's watch has reported no change of the owner record within `time_to_live` since. This
  /// node then tries to acquire the resource again.
  void forget_unconfirmed_owner();
  void stop_owning(std::string_view cause);

  asio::io_context& context_;
  kv::record_store& store_;
  std::string resource_;
  owner_lease_options options_;
  lease_state state_ = lease_state::standby;
  kv::lease_id lease_ = 0;
  std::string token_;
  std::uint64_t epoch_ = 0;
  time_point valid_until_ = time_point::min();
  time_point confirmed_at_ = time_point::min();
  time_point orders_from_ = time_point::max();
  /// Until when this node may have given orders in an earlier epoch. Initially the start of this
  /// process, since a previous process may have given orders until then.
  time_point may_have_ordered_until_;
  milliseconds order_gap_{3000};
  std::optional<known_owner> owner_;
  /// When a refused acquisition revealed the owner; reset when the watcher delivers its record. If
  /// the record is deleted before the watcher sees it, no deletion is delivered either.
  std::optional<time_point> seen_by_refused_claim_at_;
  /// Revision of the owner record as last delivered by the watcher; 0 if there was none.
  kv::revision followed_revision_ = 0;
  /// Revision of the last valid owner record received; 0 if there was none.
  kv::revision record_revision_ = 0;
  /// Node that last owned the resource, as far as this node has learned; empty if none.
  std::string last_owner_;
  /// Last orderer, and the revision of its record; 0 if there is none.
  std::string last_orderer_;
  kv::revision orderer_revision_ = 0;
  bool becoming_orderer_ = false;
  bool record_known_ = false;
  bool released_ = false;
  bool preferred_ = false;
  std::function<void()> on_gained_;
  std::function<void()> on_lost_;
  async_condition changed_;
  async_condition renewed_;
};

}  // namespace frostline::ownership
