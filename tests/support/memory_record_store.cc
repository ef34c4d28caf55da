#include "memory_record_store.h"

#include <algorithm>
#include <utility>

namespace frostline::testing {
namespace {

/// Time after which a lost lease renewal fails.
constexpr milliseconds k_lost_call_time{900};

}  // namespace

void memory_record_store::put_now(std::string const& key, std::string const& value) {
  kv::key_value& item = items_[key];
  item.key = key;
  item.value = value;
  item.mod_revision = ++revision_;
  if (item.create_revision == 0) item.create_revision = revision_;
  ++writes_[key];
  history_.push_back({false, item});
  changed_.notify_all();
}

void memory_record_store::remove_now(std::string const& key) {
  auto const found = items_.find(key);
  if (found == items_.end()) return;
  kv::watch_event event;
  event.deleted = true;
  event.entry.key = key;
  event.entry.mod_revision = ++revision_;
  items_.erase(found);
  history_.push_back(std::move(event));
  changed_.notify_all();
}

std::vector<kv::key_value> memory_record_store::list_now(std::string const& prefix) const {
  std::vector<kv::key_value> found;
  for (auto const& [key, item] : items_) {
    if (key.starts_with(prefix)) found.push_back(item);
  }
  return found;
}

kv::revision memory_record_store::revision_of(std::string const& key) const {
  auto const found = items_.find(key);
  return found == items_.end() ? 0 : found->second.mod_revision;
}

std::uint32_t memory_record_store::writes_of(std::string const& key) const {
  auto const found = writes_.find(key);
  return found == writes_.end() ? 0 : found->second;
}

kv::transaction_answer memory_record_store::apply_now(kv::transaction const& change) {
  kv::transaction_answer answer;
  bool const holds = std::all_of(change.compares.begin(), change.compares.end(),
                                 [&](kv::compare const& condition) {
                                   return revision_of(condition.key) == condition.mod_revision;
                                 });
  if (!holds) {
    for (kv::compare const& condition : change.compares) {
      auto const found = items_.find(condition.key);
      if (found != items_.end()) answer.read.push_back(found->second);
    }
    return answer;
  }
  for (kv::operation const& operation : change.on_success) {
    if (operation.kind == kv::operation_kind::put) {
      put_now(operation.key, operation.value);
      items_[operation.key].lease = operation.lease;
    } else {
      remove_now(operation.key);
    }
  }
  answer.succeeded = true;
  answer.store_revision = revision_;
  return answer;
}

void memory_record_store::apply_delayed() {
  if (delayed_) apply_now(*delayed_);
  delayed_.reset();
}

void memory_record_store::expire_leases() {
  leases_.clear();
  std::vector<std::string> gone;
  for (auto const& [key, item] : items_) {
    if (item.lease != 0) gone.push_back(key);
  }
  for (std::string const& key : gone) remove_now(key);
}

void memory_record_store::compact() {
  history_.clear();
  forgotten_ = revision_;
  changed_.notify_all();
}

awaitable<result<kv::range_answer>> memory_record_store::list(std::string prefix) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  kv::range_answer answer;
  answer.store_revision = revision_;
  answer.entries = list_now(prefix);
  co_return answer;
}

awaitable<result<bool>> memory_record_store::exceeds_one_page(std::string prefix) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  co_return list_now(prefix).size() > page_;
}

awaitable<result<kv::transaction_answer>> memory_record_store::apply(kv::transaction change,
                                                                     milliseconds) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  if (write_time_ > milliseconds(0)) co_await wait_for(write_time_);
  if (delay_next_) {
    delay_next_ = false;
    delayed_ = std::move(change);
    co_return std::error_code(kv::errc::outcome_unknown);
  }
  kv::transaction_answer answer = apply_now(change);
  if (before_answer_) std::exchange(before_answer_, nullptr)();
  if (lost_answers_ > 0) {
    --lost_answers_;
    co_return std::error_code(kv::errc::outcome_unknown);
  }
  co_return answer;
}

awaitable<result<kv::watch_batch>> memory_record_store::watch(std::string prefix,
                                                              kv::revision after,
                                                              milliseconds wait) {
  ++watches_;
  time_point const deadline = boot_clock::now() + wait;
  kv::watch_batch batch;
  while (true) {
    if (down_) co_return std::error_code(kv::errc::unavailable);
    batch.compacted = after < forgotten_;
    for (kv::watch_event const& event : history_) {
      bool const wanted = event.entry.mod_revision > after && event.entry.key.starts_with(prefix);
      if (wanted) batch.events.push_back(event);
    }
    if (batch.compacted || !batch.events.empty() || boot_clock::now() >= deadline) break;
    co_await changed_.wait_until(deadline);
  }
  batch.store_revision = revision_;
  co_return batch;
}

awaitable<result<kv::lease_id>> memory_record_store::grant_lease(milliseconds) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  leases_.push_back(next_lease_);
  co_return next_lease_++;
}

awaitable<result<milliseconds>> memory_record_store::renew_lease(kv::lease_id lease) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  if (lost_renewals_ > 0) {
    --lost_renewals_;
    co_await wait_for(k_lost_call_time);
    co_return std::error_code(kv::errc::outcome_unknown);
  }
  bool const held = std::find(leases_.begin(), leases_.end(), lease) != leases_.end();
  if (!held) co_return std::error_code(kv::errc::lease_expired);
  co_return milliseconds(1500);
}

awaitable<result<bool>> memory_record_store::end_lease(kv::lease_id lease) {
  std::erase(leases_, lease);
  std::vector<std::string> gone;
  for (auto const& [key, item] : items_) {
    if (item.lease == lease) gone.push_back(key);
  }
  for (std::string const& key : gone) remove_now(key);
  co_return true;
}

awaitable<result<bool>> memory_record_store::probe(milliseconds) {
  if (down_) co_return std::error_code(kv::errc::unavailable);
  co_return true;
}

}  // namespace frostline::testing
