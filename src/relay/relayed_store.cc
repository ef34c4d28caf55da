#include "relay/relayed_store.h"

#include "base/log.h"
#include "rpc/client.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";

kv::watch_batch take_reply(rpc::WatchReplyT reply) {
  kv::watch_batch batch;
  batch.store_revision = reply.store_revision;
  for (auto const& change : reply.changes) {
    kv::watch_event event;
    event.deleted = change->deleted;
    event.entry.key = std::move(change->key);
    event.entry.value.assign(change->value.begin(), change->value.end());
    event.entry.mod_revision = change->revision;
    event.entry.create_revision = change->created;
    batch.events.push_back(std::move(event));
  }
  return batch;
}

}  // namespace

awaitable<std::optional<kv::watch_batch>> relayed_store::ask(endpoint relay, kv::revision after) {
  rpc::WatchCallT call;
  call.after = after;
  call.wait_ms = static_cast<std::uint64_t>(options_.wait.count());
  auto reply = co_await rpc::call<rpc::WatchCallT, rpc::WatchReplyT>(
      transport_, relay, "RelayService", "Watch", call, options_.wait + options_.answer_margin);
  if (reply && reply.value().sure) co_return take_reply(std::move(reply.value()));
  log_line(log_level::info, k_part, "Relay can't be used; watching the store itself.",
           {{"relay", relay.to_string()},
            {"revision", after},
            {"cause", reply ? "not sure" : reply.error().detail}});
  co_return std::nullopt;
}

awaitable<result<kv::watch_batch>> relayed_store::watch(std::string prefix, kv::revision after,
                                                        milliseconds wait) {
  auto const relay = find_relay_();
  if (relay && steady_clock::now() >= avoided_until_) {
    auto batch = co_await ask(*relay, after);
    if (batch) co_return std::move(*batch);
    avoided_until_ = steady_clock::now() + options_.avoid_time;
  }
  co_return co_await store_.watch(std::move(prefix), after, wait);
}

}  // namespace frostline::relay
