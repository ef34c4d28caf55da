#include "relay/watch_relay.h"

#include <algorithm>

namespace frostline::relay {
namespace {

/// While it waits, a relay looks that often whether it is still sure.
constexpr milliseconds k_check_interval{200};
constexpr milliseconds k_longest_wait{2000};

rpc::WatchReplyT make_reply(std::vector<kv::watch_event> const& events, kv::revision at) {
  rpc::WatchReplyT reply;
  reply.sure = true;
  reply.store_revision = at;
  for (kv::watch_event const& event : events) {
    auto change = std::make_unique<rpc::RecordChangeT>();
    change->key = event.entry.key;
    change->value.assign(event.entry.value.begin(), event.entry.value.end());
    change->revision = event.entry.mod_revision;
    change->created = event.entry.create_revision;
    change->deleted = event.deleted;
    reply.changes.push_back(std::move(change));
  }
  return reply;
}

}  // namespace

awaitable<rpc::WatchReplyT> watch_relay::watch(rpc::WatchCallT call) {
  auto const wait = std::min(milliseconds(call.wait_ms), k_longest_wait);
  time_point const deadline = steady_clock::now() + wait;
  while (true) {
    time_point const now = steady_clock::now();
    auto const newer = history_.since(call.after);
    if (!is_sure(now) || !newer) co_return rpc::WatchReplyT();
    if (!newer->empty() || now >= deadline) {
      co_return make_reply(*newer, std::max(history_.at(), call.after));
    }
    co_await changed_.wait_until(std::min(deadline, now + k_check_interval));
  }
}

}  // namespace frostline::relay
