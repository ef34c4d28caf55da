#include "kv/follower.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::kv {
namespace {

constexpr std::string_view k_part = "kv";
/// Pauses after calls in vain: each is twice as long, since a store that turns this node away may
/// do so for seconds and every call is priced. The longest is short of what changes may take to be
/// in force.
constexpr milliseconds k_retry_pause{150};
constexpr std::uint32_t k_most_doublings = 2;

}  // namespace

prefix_watcher::prefix_watcher(asio::io_context& context, record_store& store, std::string prefix,
                               prefix_watcher_callbacks callbacks, prefix_watcher_options options)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      callbacks_(std::move(callbacks)),
      options_(options) {}

void prefix_watcher::start() {
  current_ = false;
  spawn(context_, follow_loop(shared_from_this(), ++round_));
}

void prefix_watcher::resynchronize() { start(); }

awaitable<void> prefix_watcher::follow_loop(std::shared_ptr<prefix_watcher> self,
                                            std::uint64_t round) {
  bool listed = false;
  std::uint32_t in_vain = 0;
  while (round == round_) {
    bool const done = listed ? co_await watch_once(round) : co_await list_once(round);
    if (round != round_) co_return;
    current_ = done;
    // A watch that ended is answered by a range at once; only that one's failure is in vain.
    in_vain = done || listed ? 0 : in_vain + 1;
    listed = done;
    if (done) continue;
    auto const doublings = std::min(in_vain, k_most_doublings);
    co_await wait_for(with_jitter(k_retry_pause * (1 << doublings)));
  }
}

awaitable<bool> prefix_watcher::list_once(std::uint64_t round) {
  time_point const asked = boot_clock::now();
  auto answer = co_await store_.list(prefix_);
  if (round != round_ || !answer) co_return false;
  answered_at_ = asked;
  // An answer from before what is known would take changes back.
  if (answer.value().store_revision < at_) co_return false;
  at_ = answer.value().store_revision;
  if (!loaded_) {
    log_line(log_level::info, k_part, "Records loaded.",
             {{"prefix", prefix_}, {"revision", at_}, {"records", answer.value().entries.size()}});
  }
  loaded_ = true;
  callbacks_.snapshot(answer.value());
  if (callbacks_.complete_to) callbacks_.complete_to(at_);
  co_return true;
}

awaitable<bool> prefix_watcher::watch_once(std::uint64_t round) {
  time_point const asked = boot_clock::now();
  auto answer = co_await store_.watch(prefix_, at_, options_.watch_wait);
  if (round != round_) co_return false;
  if (!answer || answer.value().compacted) {
    log_line(log_level::info, k_part, "Watch ended; reading the range again.",
             {{"prefix", prefix_},
              {"revision", at_},
              {"waited_ms", milliseconds_since(asked)},
              {"cause", answer ? "compacted" : answer.error().message()}});
    bool const silent = !answer && answer.error() == errc::watch_silent;
    if (silent && callbacks_.watch_silent) callbacks_.watch_silent();
    co_return false;
  }
  answered_at_ = boot_clock::now();
  for (watch_event const& event : answer.value().events) callbacks_.event(event);
  at_ = std::max(at_, answer.value().store_revision);
  if (callbacks_.complete_to) callbacks_.complete_to(at_);
  if (!answer.value().events.empty() && options_.pause > milliseconds(0)) {
    co_await wait_for(options_.pause);
  }
  co_return true;
}

}  // namespace frostline::kv
