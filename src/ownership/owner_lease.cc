#include "ownership/owner_lease.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/jitter.h"
#include "base/log.h"
#include "rpc/codec.h"

namespace frostline::ownership {
namespace {

constexpr std::string_view k_part = "ownership";
constexpr std::string_view k_prefix = "frostline/owners/";
constexpr std::string_view k_orderer_suffix = "/orders";
/// The previous owner or orderer tries to acquire the resource before other nodes.
constexpr milliseconds k_reacquisition_delay{20};
constexpr milliseconds k_acquisition_delay{80};
constexpr milliseconds k_acquisition_jitter{240};
constexpr milliseconds k_retry_backoff{200};
/// Nodes with at least this processor share, in cores, have no claim delay.
constexpr double k_full_strength_share = 0.5;
/// Claim delay of a node whose processor share is close to zero.
constexpr milliseconds k_max_claim_delay{250};
constexpr milliseconds k_transaction_timeout{1500};
constexpr milliseconds k_orderer_timeout{400};
/// Longest timeout of an order or a report (0.8 s), after which the sender closes the connection.
/// The previous owner sends no orders after its lease has expired, so none is in flight once this
/// time has passed.
constexpr milliseconds k_max_order_duration{800};

}  // namespace

milliseconds claim_delay_of(double processor_share) {
  double const strength = std::clamp(processor_share / k_full_strength_share, 0.0, 1.0);
  auto const longest = static_cast<double>(k_max_claim_delay.count());
  return milliseconds(static_cast<std::int64_t>(longest * (1.0 - strength)));
}

owner_lease::owner_lease(asio::io_context& context, kv::record_store& store, std::string resource,
                         owner_lease_options options)
    : context_(context),
      store_(store),
      resource_(std::move(resource)),
      options_(std::move(options)),
      may_have_ordered_until_(boot_clock::now()),
      changed_(context),
      renewed_(context) {}

std::string owner_lease::owners_prefix() { return std::string(k_prefix); }

std::string owner_lease::key_of(std::string const& resource) { return owners_prefix() + resource; }

std::string owner_lease::orderer_key_of(std::string const& resource) {
  return key_of(resource) + std::string(k_orderer_suffix);
}

std::optional<std::string> owner_lease::resource_of_orderer_key(std::string const& key) {
  if (!key.starts_with(k_prefix) || !key.ends_with(k_orderer_suffix)) return std::nullopt;
  std::size_t const around = k_prefix.size() + k_orderer_suffix.size();
  if (key.size() <= around) return std::nullopt;
  return key.substr(k_prefix.size(), key.size() - around);
}

void owner_lease::start() { spawn(context_, run()); }

void owner_lease::on_change(std::function<void()> gained, std::function<void()> lost) {
  on_gained_ = std::move(gained);
  on_lost_ = std::move(lost);
}

bool owner_lease::holds(time_point now) const {
  return state_ == lease_state::owner && now < valid_until_;
}

void owner_lease::note_record(kv::key_value const* record) {
  seen_by_refused_claim_at_.reset();
  followed_revision_ = record == nullptr ? 0 : record->mod_revision;
  apply_owner_record(record);
}

void owner_lease::apply_owner_record(kv::key_value const* record) {
  record_known_ = true;
  if (record == nullptr) {
    owner_.reset();
    if (state_ == lease_state::owner) stop_owning("record deleted");
    changed_.notify_all();
    return;
  }
  auto const decoded = rpc::decode<rpc::PoolOwnerT>(record->value);
  if (!decoded) return;
  auto const address = parse_endpoint(decoded->address);
  if (!address) return;
  bool const is_new = !owner_ || owner_->epoch != record->mod_revision;
  owner_ = known_owner{decoded->node, *address, record->mod_revision};
  record_revision_ = record->mod_revision;
  last_owner_ = decoded->node;
  bool const own = decoded->token == token_;
  if (own && state_ == lease_state::acquiring) become_owner(record->mod_revision);
  bool const overtaken = state_ == lease_state::owner && record->mod_revision != epoch_;
  if (!own && overtaken) stop_owning("another owner");
  if (is_new) {
    log_line(log_level::info, k_part, "Owner known.",
             {{"resource", resource_}, {"owner", decoded->node}, {"epoch", record->mod_revision}});
    changed_.notify_all();
  }
}

void owner_lease::note_orderer(kv::key_value const& record) {
  auto const decoded = rpc::decode<rpc::PoolOwnerT>(record.value);
  if (!decoded || record.mod_revision <= orderer_revision_) return;
  last_orderer_ = decoded->node;
  orderer_revision_ = record.mod_revision;
}

void owner_lease::apply_current_records(std::vector<kv::key_value> const& records) {
  for (kv::key_value const& record : records) {
    if (record.key == orderer_key_of(resource_)) note_orderer(record);
    if (record.key != key_of(resource_)) continue;
    apply_owner_record(&record);
    // The watcher may already have delivered this revision, and delivers it only once.
    bool const already_delivered = record.mod_revision == followed_revision_;
    if (!already_delivered) seen_by_refused_claim_at_ = boot_clock::now();
  }
}

void owner_lease::forget_unconfirmed_owner() {
  bool const due = seen_by_refused_claim_at_ && state_ != lease_state::owner &&
                   boot_clock::now() >= *seen_by_refused_claim_at_ + options_.time_to_live;
  if (!due) return;
  seen_by_refused_claim_at_.reset();
  owner_.reset();
  log_line(log_level::info, k_part, "Forgot an owner that was seen only in a refused claim.",
           {{"resource", resource_}, {"owner", last_owner_}, {"epoch", record_revision_}});
}

bool owner_lease::may_order(time_point now) const {
  return holds(now) && now >= orders_from_ && ordered_last();
}

awaitable<void> owner_lease::become_orderer() {
  becoming_orderer_ = true;
  std::uint64_t const epoch = epoch_;
  rpc::PoolOwnerT record;
  record.node = options_.node;
  record.address = options_.address.to_string();
  kv::transaction change;
  change.compares.push_back({key_of(resource_), epoch});
  change.compares.push_back({orderer_key_of(resource_), orderer_revision_});
  kv::operation put;
  put.key = orderer_key_of(resource_);
  put.value = rpc::encode(record);
  change.on_success.push_back(std::move(put));
  auto outcome = co_await store_.apply(std::move(change), k_orderer_timeout);
  becoming_orderer_ = false;
  if (!outcome) co_return;
  if (!outcome.value().succeeded) {
    // An earlier attempt without an answer may have succeeded.
    apply_current_records(outcome.value().read);
    co_return;
  }
  if (outcome.value().store_revision < orderer_revision_) co_return;
  last_orderer_ = options_.node;
  orderer_revision_ = outcome.value().store_revision;
  log_line(log_level::info, k_part, "Became orderer.", {{"resource", resource_}, {"epoch", epoch}});
}

time_point owner_lease::first_order_time(time_point now) const {
  // Orders of a previous process of this node count as its own.
  if (ordered_last()) return now;
  time_point const gap_over_at = may_have_ordered_until_ + order_gap_;
  return std::max(now + std::min(k_max_order_duration, order_gap_), gap_over_at);
}

void owner_lease::become_owner(std::uint64_t epoch) {
  state_ = lease_state::owner;
  epoch_ = epoch;
  orders_from_ = first_order_time(boot_clock::now());
  last_owner_ = options_.node;
  owner_ = known_owner{options_.node, options_.address, epoch};
  log_line(log_level::info, k_part, "Ownership acquired.",
           {{"resource", resource_}, {"epoch", epoch}});
  if (on_gained_) on_gained_();
  changed_.notify_all();
}

void owner_lease::stop_owning(std::string_view cause) {
  state_ = lease_state::lapsed;
  may_have_ordered_until_ = boot_clock::now();
  lease_ = 0;
  log_line(log_level::warning, k_part, "Ownership lost.",
           {{"resource", resource_}, {"epoch", epoch_}, {"cause", cause}});
  if (on_lost_) on_lost_();
  changed_.notify_all();
}

awaitable<void> owner_lease::run() {
  while (!released_) {
    if (state_ == lease_state::owner) {
      co_await renew();
    } else if (record_known_ && (!owner_ || owner_->node == options_.node)) {
      co_await try_acquire();
    } else {
      co_await changed_.wait_until(boot_clock::now() + seconds(1));
      forget_unconfirmed_owner();
    }
  }
}

milliseconds owner_lease::acquisition_delay() const {
  if (last_owner_ == options_.node || ordered_last()) return k_reacquisition_delay;
  // The claim delay still applies: progress can be transferred to a new owner, processor share
  // can't.
  if (preferred_) return k_reacquisition_delay + options_.claim_delay;
  return k_acquisition_delay + with_jitter(k_acquisition_jitter) + options_.claim_delay;
}

awaitable<void> owner_lease::try_acquire() {
  co_await changed_.wait_until(boot_clock::now() + acquisition_delay());
  bool const own_previous = owner_ && owner_->node == options_.node;
  if ((owner_ && !own_previous) || released_) co_return;
  state_ = lease_state::acquiring;
  bool const acquired = co_await create_record(own_previous ? record_revision_ : 0);
  if (state_ != lease_state::acquiring) co_return;
  state_ = lease_state::standby;
  if (!acquired) co_await changed_.wait_until(boot_clock::now() + with_jitter(k_retry_backoff));
}

awaitable<bool> owner_lease::create_record(kv::revision replaced) {
  time_point const sent_at = boot_clock::now();
  auto lease = co_await store_.grant_lease(options_.time_to_live);
  bool const overtaken = owner_ && (replaced == 0 || record_revision_ != replaced);
  if (!lease || overtaken) co_return false;
  lease_ = lease.value();
  token_ = make_unique_token();
  rpc::PoolOwnerT record;
  record.node = options_.node;
  record.address = options_.address.to_string();
  record.token = token_;
  kv::transaction change;
  change.compares.push_back({key_of(resource_), replaced});
  change.compares.push_back({orderer_key_of(resource_), orderer_revision_});
  kv::operation put;
  put.key = key_of(resource_);
  put.value = rpc::encode(record);
  put.lease = lease_;
  change.on_success.push_back(std::move(put));
  valid_until_ = sent_at + options_.time_to_live - options_.safety_margin;
  auto outcome = co_await store_.apply(std::move(change), k_transaction_timeout);
  if (state_ == lease_state::owner) co_return true;  // the watcher delivered the record first
  if (outcome && outcome.value().succeeded) {
    confirmed_at_ = sent_at;
    become_owner(outcome.value().store_revision);
    co_return true;
  }
  bool const refused = outcome && !outcome.value().succeeded;
  if (refused) apply_current_records(outcome.value().read);
  // After an unknown outcome the record may still appear; the watcher then delivers it.
  if (state_ == lease_state::owner) co_return true;
  lease_ = 0;
  co_return false;
}

awaitable<void> owner_lease::renew() {
  time_point next = boot_clock::now() + options_.renewal_interval;
  if (orders_from_ > boot_clock::now()) next = std::min(next, orders_from_);
  co_await changed_.wait_until(next);
  time_point const started_at = boot_clock::now();
  bool const entitled = holds(started_at) && started_at >= orders_from_;
  if (entitled && !ordered_last() && !becoming_orderer_) spawn(context_, become_orderer());
  // An answer may be lost, so renewals are repeated long before the lease expires.
  while (state_ == lease_state::owner && !released_ && confirmed_at_ < started_at) {
    spawn(context_, renew_once(lease_));
    co_await renewed_.wait_until(boot_clock::now() + options_.renewal_timeout);
  }
}

awaitable<void> owner_lease::renew_once(kv::lease_id lease) {
  time_point const sent_at = boot_clock::now();
  auto renewed = co_await store_.renew_lease(lease);
  if (state_ != lease_state::owner || lease != lease_) co_return;
  if (renewed) {
    valid_until_ = std::max(valid_until_, sent_at + renewed.value() - options_.safety_margin);
    confirmed_at_ = std::max(confirmed_at_, sent_at);
    renewed_.notify_all();
    co_return;
  }
  if (renewed.error() == kv::errc::lease_expired) {
    owner_.reset();
    stop_owning("lease expired");
    renewed_.notify_all();
  }
}

awaitable<void> owner_lease::release() {
  released_ = true;
  changed_.notify_all();
  if (state_ != lease_state::owner) co_return;
  kv::lease_id const held = lease_;
  stop_owning("released");
  co_await store_.end_lease(held);
}

}  // namespace frostline::ownership
