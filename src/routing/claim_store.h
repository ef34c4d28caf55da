/// @file Claims of request identifiers in the key-value service, for at-most-once delivery: only
/// the node that creates the key may send the request. Claims expire with their lease.
#pragma once

#include <string>

#include "base/asio.h"
#include "kv/client.h"

namespace frostline::routing {

/// Shortest and longest lifetime of a claim. Claims share a lease, so the older the lease is when a
/// claim is made, the shorter is the claim's lifetime.
inline constexpr seconds k_min_claim_ttl{840};
inline constexpr seconds k_max_claim_ttl{900};

enum class claim_result {
  /// This request owns the identifier and may be sent.
  acquired,
  /// Another request owns the identifier and may have been sent.
  taken,
  /// The owner can't be determined; the request must not be sent.
  unreadable,
};

class claim_store {
 public:
  claim_store(asio::io_context& context, kv::client& kv_client)
      : context_(context), kv_(kv_client) {}

  void start();
  awaitable<claim_result> claim(std::string route, std::string identifier);

 private:
  /// Replaces the lease for new claims periodically.
  awaitable<void> lease_loop();
  /// Determines the owner after a transaction with an unknown outcome.
  awaitable<claim_result> read_back(std::string key, std::string token);

  asio::io_context& context_;
  kv::client& kv_;
  kv::lease_id lease_ = 0;
  time_point lease_granted_ = time_point::min();
};

}  // namespace frostline::routing
