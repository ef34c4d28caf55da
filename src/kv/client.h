/// @file Client of the key-value service.
#pragma once

#include <functional>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "kv/circuit_breaker.h"
#include "kv/errc.h"
#include "kv/types.h"

namespace frostline::kv {

/// Speaks the JSON form of the etcd v3 API over HTTP. Switches to the next server after a failure.
class client {
 public:
  /// @param seed of the backoff jitter; use a different one on each node.
  client(http::client& transport, std::vector<endpoint> servers, std::uint64_t seed)
      : transport_(transport), servers_(std::move(servers)), breaker_(seed) {}

  /// Reads `key`, or with `range_end` all keys from `key` up to but excluding `range_end`.
  awaitable<result<range_answer>> range(std::string key, std::string range_end = {});
  /// Reads all keys that begin with `prefix`.
  awaitable<result<range_answer>> range_prefix(std::string prefix);
  /// Applies a transaction without retries. Fails with errc::outcome_unknown if it may have taken
  /// effect.
  awaitable<result<transaction_answer>> apply(transaction change);
  awaitable<result<lease_id>> grant_lease(seconds time_to_live);
  /// Renews a lease. @return the remaining time to live in seconds, or errc::lease_expired.
  awaitable<result<std::uint64_t>> keep_alive(lease_id lease);
  awaitable<result<std::uint64_t>> revoke(lease_id lease);
  /// Passes changes below `prefix` from revision `start` on to `sink`, until the stream ends or
  /// `sink` returns false.
  /// @return the reason why the stream ended; never success, even after a normal end.
  awaitable<std::error_code> watch(std::string prefix, revision start,
                                   std::function<bool(watch_batch const&)> sink);

  /// Time of the last successful response or watch data from the service; time_point::min() before
  /// the first.
  time_point last_answer() const { return last_answer_; }
  std::uint64_t operations() const { return operations_; }

 private:
  awaitable<result<std::string>> post(std::string target, std::string body);
  void record_failure();
  endpoint const& server() const { return servers_[current_ % servers_.size()]; }

  http::client& transport_;
  std::vector<endpoint> servers_;
  std::size_t current_ = 0;
  time_point last_answer_ = time_point::min();
  std::uint64_t operations_ = 0;
  circuit_breaker breaker_;
};

}  // namespace frostline::kv
