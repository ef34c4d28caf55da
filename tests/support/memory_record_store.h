/// @file An in-memory record store for unit tests that can lose answers and delay writes.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kv/record_store.h"

namespace frostline::testing {

class memory_record_store final : public kv::record_store {
 public:
  explicit memory_record_store(asio::io_context& context) : changed_(context) {}

  awaitable<result<kv::range_answer>> list(std::string prefix) override;
  awaitable<result<bool>> exceeds_one_page(std::string prefix) override;
  awaitable<result<kv::transaction_answer>> apply(kv::transaction change,
                                                  milliseconds timeout) override;
  awaitable<result<kv::watch_batch>> watch(std::string prefix, kv::revision after,
                                           milliseconds wait) override;
  awaitable<result<kv::lease_id>> grant_lease(milliseconds time_to_live) override;
  awaitable<result<milliseconds>> renew_lease(kv::lease_id lease) override;
  awaitable<result<bool>> end_lease(kv::lease_id lease) override;
  awaitable<result<bool>> probe(milliseconds timeout) override;

  void put_now(std::string const& key, std::string const& value);
  void remove_now(std::string const& key);
  std::vector<kv::key_value> list_now(std::string const& prefix) const;
  kv::revision revision_of(std::string const& key) const;
  std::uint32_t writes_of(std::string const& key) const;
  /// The next `count` transactions are applied, but fail as `outcome_unknown`.
  void lose_answers(std::uint32_t count) { lost_answers_ = count; }
  /// The next `count` lease renewals have no effect and fail as `outcome_unknown` after a timeout.
  void lose_renewals(std::uint32_t count) { lost_renewals_ = count; }
  /// The next transaction fails as `outcome_unknown`; apply_delayed() applies it if its conditions
  /// hold by then.
  void delay_next_write() { delay_next_ = true; }
  void apply_delayed();
  /// Runs `action` once, after the next transaction is applied and before it is answered.
  void before_next_answer(std::function<void()> action) { before_answer_ = std::move(action); }
  /// Time that each transaction takes before it is applied.
  void set_write_time(milliseconds duration) { write_time_ = duration; }
  /// Expires all leases and removes their records.
  void expire_leases();
  /// Sets the number of records above which exceeds_one_page() returns true.
  void set_page(std::size_t records) { page_ = records; }
  /// Drops the history: watches from an earlier revision return `compacted`.
  void compact();
  /// While set, all calls except end_lease() fail as `unavailable`.
  void set_down(bool down) { down_ = down; }
  std::uint64_t watches() const { return watches_; }

 private:
  kv::transaction_answer apply_now(kv::transaction const& change);

  async_condition changed_;
  std::map<std::string, kv::key_value> items_;
  std::vector<kv::watch_event> history_;
  std::map<std::string, std::uint32_t> writes_;
  kv::revision revision_ = 1;
  kv::revision forgotten_ = 0;
  kv::lease_id next_lease_ = 1;
  std::vector<kv::lease_id> leases_;
  std::uint32_t lost_answers_ = 0;
  std::uint32_t lost_renewals_ = 0;
  bool delay_next_ = false;
  std::function<void()> before_answer_;
  bool down_ = false;
  milliseconds write_time_{0};
  std::size_t page_ = 500;
  std::uint64_t watches_ = 0;
  std::optional<kv::transaction> delayed_;
};

}  // namespace frostline::testing
