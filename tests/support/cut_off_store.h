/// @file A record store decorator that simulates a partition between one node and the store.
#pragma once

#include "kv/record_store.h"

namespace frostline::testing {

class cut_off_store final : public kv::record_store {
 public:
  explicit cut_off_store(kv::record_store& store) : store_(store) {}

  /// While set, all calls except those for leases fail as `unavailable`. Lists and watches in
  /// flight fail when the store answers them.
  void set_cut(bool cut) { cut_ = cut; }
  /// While set, watches time out without an answer, including those in flight; other calls are not
  /// affected.
  void set_watches_silent(bool silent) { watches_silent_ = silent; }
  std::uint64_t lists() const { return lists_; }
  /// Number of list calls for the prefix "servers/".
  std::uint64_t server_lists() const { return server_lists_; }
  std::uint64_t watches() const { return watches_; }
  std::uint64_t probes() const { return probes_; }
  std::uint64_t transactions() const { return transactions_; }

  awaitable<result<kv::range_answer>> list(std::string prefix) override {
    ++lists_;
    if (prefix.starts_with("servers/")) ++server_lists_;
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    auto answer = co_await store_.list(std::move(prefix));
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    co_return answer;
  }
  awaitable<result<bool>> exceeds_one_page(std::string prefix) override {
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    co_return co_await store_.exceeds_one_page(std::move(prefix));
  }
  awaitable<result<kv::transaction_answer>> apply(kv::transaction change,
                                                  milliseconds timeout) override {
    ++transactions_;
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    co_return co_await store_.apply(std::move(change), timeout);
  }
  awaitable<result<kv::watch_batch>> watch(std::string prefix, kv::revision after,
                                           milliseconds wait) override {
    ++watches_;
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    auto batch = co_await store_.watch(std::move(prefix), after, wait);
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    if (!watches_silent_) co_return batch;
    co_await wait_for(wait);
    co_return std::error_code(kv::errc::watch_silent);
  }
  awaitable<result<kv::lease_id>> grant_lease(milliseconds time_to_live) override {
    return store_.grant_lease(time_to_live);
  }
  awaitable<result<milliseconds>> renew_lease(kv::lease_id lease) override {
    return store_.renew_lease(lease);
  }
  awaitable<result<bool>> end_lease(kv::lease_id lease) override { return store_.end_lease(lease); }
  awaitable<result<bool>> probe(milliseconds timeout) override {
    ++probes_;
    if (cut_) co_return std::error_code(kv::errc::unavailable);
    co_return co_await store_.probe(timeout);
  }

 private:
  kv::record_store& store_;
  bool cut_ = false;
  bool watches_silent_ = false;
  std::uint64_t lists_ = 0;
  std::uint64_t server_lists_ = 0;
  std::uint64_t watches_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t transactions_ = 0;
};

}  // namespace frostline::testing
