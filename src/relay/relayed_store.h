/// @file A record store whose watches ask another node first and the store itself when that node
/// does not answer or is not sure. Revisions are the store's in both cases, so a follower may
/// change from one to the other at any time.
#pragma once

#include <functional>
#include <optional>

#include "base/endpoint.h"
#include "http/client.h"
#include "kv/record_store.h"

namespace frostline::relay {

struct relay_options {
  /// Longest time one question waits at the relay.
  milliseconds wait{700};
  /// Beyond that, a relay that does not answer counts as lost.
  milliseconds answer_margin{250};
  /// For that long a lost relay is not asked.
  milliseconds avoid_time{1500};
};

class relayed_store final : public kv::record_store {
 public:
  /// @param find_relay the node to ask now; nothing: the store itself.
  relayed_store(kv::record_store& store, http::client& transport,
                std::function<std::optional<endpoint>()> find_relay,
                relay_options options = relay_options())
      : store_(store),
        transport_(transport),
        find_relay_(std::move(find_relay)),
        options_(options) {}

  awaitable<result<kv::watch_batch>> watch(std::string prefix, kv::revision after,
                                           milliseconds wait) override;

  awaitable<result<kv::range_answer>> list(std::string prefix) override {
    return store_.list(std::move(prefix));
  }
  awaitable<result<kv::transaction_answer>> apply(kv::transaction change,
                                                  milliseconds timeout) override {
    return store_.apply(std::move(change), timeout);
  }
  awaitable<result<kv::lease_id>> grant_lease(milliseconds time_to_live) override {
    return store_.grant_lease(time_to_live);
  }
  awaitable<result<milliseconds>> renew_lease(kv::lease_id lease) override {
    return store_.renew_lease(lease);
  }
  awaitable<result<bool>> end_lease(kv::lease_id lease) override { return store_.end_lease(lease); }
  awaitable<result<bool>> probe(milliseconds timeout) override { return store_.probe(timeout); }

 private:
  /// @return nothing if the relay does not answer for certain.
  awaitable<std::optional<kv::watch_batch>> ask(endpoint relay, kv::revision after);

  kv::record_store& store_;
  http::client& transport_;
  std::function<std::optional<endpoint>()> find_relay_;
  relay_options options_;
  time_point avoided_until_ = time_point::min();
};

}  // namespace frostline::relay
