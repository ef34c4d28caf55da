/// @file Claims of request identifiers in the key-value service: whoever creates the key may send
/// the request; everyone else must not. Claims are bound to leases and so forgotten in time.
#pragma once

#include <string>

#include "base/asio.h"
#include "kv/client.h"

namespace frostline::routing {

/// Shortest and longest time for which a claim is remembered.
inline constexpr seconds k_claim_memory_least{840};
inline constexpr seconds k_claim_memory_most{900};

enum class claim_result {
  /// This request holds the identifier.
  ours,
  /// Another request holds it, and may have been sent.
  taken,
  /// It can't be known now; nothing may be sent.
  unreadable,
};

class claim_store {
 public:
  claim_store(asio::io_context& context, kv::client& service)
      : context_(context), service_(service) {}

  void start();
  awaitable<claim_result> claim(std::string route, std::string identifier);

 private:
  awaitable<void> lease_loop();
  awaitable<claim_result> read_back(std::string key, std::string token);

  asio::io_context& context_;
  kv::client& service_;
  kv::lease_id lease_ = 0;
  time_point lease_granted_ = time_point::min();
};

}  // namespace frostline::routing
