#include "routing/claim_store.h"

#include "base/encoding.h"
#include "config/keys.h"

namespace frostline::routing {
namespace {

/// Claims made within one interval share a lease.
constexpr milliseconds k_lease_interval{60'000};
constexpr milliseconds k_lease_retry{500};

}  // namespace

void claim_store::start() { spawn(context_, lease_loop()); }

awaitable<void> claim_store::lease_loop() {
  while (true) {
    // The previous lease expires together with its claims.
    auto granted = co_await kv_.grant_lease(k_max_claim_ttl);
    if (granted) {
      lease_ = granted.value();
      lease_granted_ = boot_clock::now();
    }
    co_await wait_for(granted ? k_lease_interval : k_lease_retry);
  }
}

awaitable<claim_result> claim_store::claim(std::string route, std::string identifier) {
  auto const age = boot_clock::now() - lease_granted_;
  bool const usable = lease_ != 0 && age < k_max_claim_ttl - k_min_claim_ttl;
  if (!usable) co_return claim_result::unreadable;
  std::string const key = config::key_of(config::k_claims, route + "/" + base64_encode(identifier));
  std::string const token = make_unique_token();
  kv::transaction change;
  change.compares.push_back({key, 0});
  change.on_success.push_back({kv::operation_kind::put, key, token, lease_});
  auto answer = co_await kv_.apply(std::move(change));
  if (answer) co_return answer.value().succeeded ? claim_result::acquired : claim_result::taken;
  if (answer.error() != kv::errc::outcome_unknown) co_return claim_result::unreadable;
  co_return co_await read_back(key, token);
}

awaitable<claim_result> claim_store::read_back(std::string key, std::string token) {
  auto read = co_await kv_.range(std::move(key));
  if (!read) co_return claim_result::unreadable;
  // The key is absent, but the transaction may still take effect, so the request can't be sent.
  if (read.value().entries.empty()) co_return claim_result::unreadable;
  bool const acquired = read.value().entries.front().value == token;
  co_return acquired ? claim_result::acquired : claim_result::taken;
}

}  // namespace frostline::routing
