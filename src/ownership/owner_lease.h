/// @file Which node owns a resource that one node at a time may act for: a pool of engines (its
/// batch jobs, the orders to its engines), or the system's calls to its platform. One lease
/// in the record store decides; the revision at which its record was made is the owner's epoch.
///
/// A second record, the orderer's, outlives the lease: it names the last node that was entitled to
/// give orders. An owner writes it before its first order, and takes the resource only at the
/// revision of it that it knows. So the node that ordered last may order at once when it owns the
/// resource again. Any other waits until no order of that node can be under way and, if it may have
/// ordered itself before that node did, until that is so long ago that the two do not take turns.
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

/// standby -> acquiring -> owner -> lapsed -> standby; acquiring -> standby; owner -> standby when
/// it is handed on.
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
  /// A renewal without an answer for that long is sent again.
  milliseconds renewal_patience{150};
  /// The lease counts as over this long before the store would end it.
  milliseconds safety_margin{150};
  /// Asks for a free resource that much later than the strongest node.
  milliseconds claim_delay{0};
};

/// Resources whose names begin so are the system's duties towards its platform; all others are
/// pools.
inline constexpr std::string_view k_duties_prefix = "duties/";

/// How much later than the strongest node one with this share of a core asks for a free resource.
milliseconds claim_delay_of(double processor_share);

/// Candidate for, or owner of, one resource. Orders stand for whatever only one node at a time may
/// send to others.
class owner_lease {
 public:
  owner_lease(asio::io_context& context, kv::record_store& store, std::string resource,
              owner_lease_options options);

  /// Key under which the owner of a resource stands; all lie below `owners_prefix`.
  static std::string key_of(std::string const& resource);
  static std::string owners_prefix();
  static std::string orderer_key_of(std::string const& resource);
  /// The resource whose orderer's record has this key, if it is one.
  static std::optional<std::string> resource_of_orderer_key(std::string const& key);

  void start();
  /// The store's record of this resource, as the owners' follower heard it; null: there is none.
  void note_record(kv::key_value const* record);
  /// The store's record of the resource's last orderer, as the owners' follower heard it.
  void note_orderer(kv::key_value const& record);
  /// Hands the resource on: ends the lease and never asks for it again.
  awaitable<void> release();

  /// Whether this node may act as the owner now: its lease can't have ended.
  bool holds(time_point now) const;
  /// When the store last answered this node about its lease: what was asked then.
  time_point confirmed_at() const { return confirmed_at_; }
  lease_state state() const { return state_; }
  std::uint64_t epoch() const { return epoch_; }
  /// Earliest time for the first order in this term.
  time_point orders_from() const { return orders_from_; }
  /// Whether an order may be given now.
  bool may_order(time_point now) const;
  /// Whether this node holds the owner's progress, and so asks for a free resource before the
  /// others.
  void set_preferred(bool preferred) { preferred_ = preferred; }
  /// Orders of one node, another and the first again must be spread over more than this time.
  void set_order_gap(milliseconds gap) { order_gap_ = gap; }
  std::optional<known_owner> const& owner() const { return owner_; }
  std::string const& resource() const { return resource_; }

  /// `gained` runs when this node becomes owner, `lost` when it is not any more.
  void on_change(std::function<void()> gained, std::function<void()> lost);
  /// Ends when the known owner changes, or at `deadline`.
  awaitable<void> wait_for_change(time_point deadline) { return changed_.wait_until(deadline); }

 private:
  awaitable<void> run();
  awaitable<void> compete();
  milliseconds delay_before_asking() const;
  /// @param replaced revision of the record of this machine's own former process; 0: none.
  awaitable<bool> create_record(kv::revision replaced);
  /// Waits for the next renewal's time and asks until one is answered.
  awaitable<void> renew();
  awaitable<void> renew_once(kv::lease_id lease);
  void become_owner(std::uint64_t epoch);
  time_point first_order_time(time_point now) const;
  bool ordered_last() const { return last_orderer_ == options_.node; }
  /// Writes the orderer's record once the first order is due; repeated until it is known to stand.
  awaitable<void> become_orderer();
  void take_current(std::vector<kv::key_value> const& records);
  void adopt(kv::key_value const* record);
  /// Asks anew about an owner of whom no follower has told.
  void forget_unheard_owner();
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
  /// Up to when this machine may have ordered in an earlier term; before its start, by a process
  /// that this one does not know of.
  time_point may_have_ordered_until_;
  milliseconds order_gap_{3000};
  std::optional<known_owner> owner_;
  /// When a refused claim showed the owner, until a follower tells of it. A record that is gone
  /// before the follower has heard of it is nothing that it would tell the end of.
  std::optional<time_point> shown_by_claim_at_;
  /// Revision of the owner's record of which the follower told last; 0: there was none.
  kv::revision heard_revision_ = 0;
  /// Revision of the owner's record.
  kv::revision record_revision_ = 0;
  /// Node that owned the resource last, as far as is known.
  std::string last_owner_;
  /// Node that was entitled to order last, and the revision of the record that says so; 0: none.
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
