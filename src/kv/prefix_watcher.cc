#include "kv/prefix_watcher.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::kv {
namespace {

constexpr std::string_view k_part = "kv";
/// Upper bound of the jittered wait after a failed watch; doubles with each consecutive failed
/// list, at most k_max_doublings times, since a store may turn a node away for seconds and every
/// call has a price. The longest wait stays below the time that changes may take.
constexpr milliseconds k_retry_backoff{150};
constexpr std::uint32_t k_max_doublings = 2;

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
  spawn(context_, run(shared_from_this(), ++generation_));
}

void prefix_watcher::resynchronize() { start(); }

awaitable<void> prefix_watcher::run(std::shared_ptr<prefix_watcher> self,
                                    std::uint64_t generation) {
  bool listed = false;
  std::uint32_t failures = 0;
  while (generation == generation_) {
    bool const succeeded =
        listed ? co_await watch_once(generation) : co_await list_once(generation, failures == 0);
    if (generation != generation_) co_return;
    current_ = succeeded;
    // A failed watch does not increase the backoff; only consecutive failed lists do.
    failures = succeeded || listed ? 0 : failures + 1;
    listed = succeeded;
    if (succeeded) continue;
    auto const doublings = std::min(failures, k_max_doublings);
    co_await wait_for(with_jitter(k_retry_backoff * (1 << doublings)));
  }
}

awaitable<bool> prefix_watcher::list_once(std::uint64_t generation, bool logs_failure) {
  time_point const sent_at = boot_clock::now();
  auto answer = co_await store_.list(prefix_);
  if (generation != generation_) co_return false;
  if (!answer) {
    if (logs_failure) {
      log_line(log_level::info, k_part, "Records not read; trying again.",
               {{"prefix", prefix_},
                {"waited_ms", milliseconds_since(sent_at)},
                {"cause", answer.error().message()}});
    }
    co_return false;
  }
  answered_at_ = sent_at;
  // Applying an answer that is older than the current view would revert changes.
  if (answer.value().store_revision < revision_) co_return false;
  revision_ = answer.value().store_revision;
  if (!loaded_) {
    log_line(
        log_level::info, k_part, "Records loaded.",
        {{"prefix", prefix_}, {"revision", revision_}, {"records", answer.value().entries.size()}});
  }
  loaded_ = true;
  callbacks_.snapshot(answer.value());
  if (callbacks_.complete_to) callbacks_.complete_to(revision_);
  co_return true;
}

awaitable<bool> prefix_watcher::watch_once(std::uint64_t generation) {
  time_point const sent_at = boot_clock::now();
  auto answer = co_await store_.watch(prefix_, revision_, options_.watch_wait);
  if (generation != generation_) co_return false;
  if (!answer || answer.value().compacted) {
    log_line(log_level::info, k_part, "Watch ended; reading the range again.",
             {{"prefix", prefix_},
              {"revision", revision_},
              {"waited_ms", milliseconds_since(sent_at)},
              {"cause", answer ? "compacted" : answer.error().message()}});
    bool const silent = !answer && answer.error() == errc::watch_silent;
    if (silent && callbacks_.watch_silent) callbacks_.watch_silent();
    co_return false;
  }
  answered_at_ = boot_clock::now();
  for (watch_event const& event : answer.value().events) callbacks_.event(event);
  revision_ = std::max(revision_, answer.value().store_revision);
  if (callbacks_.complete_to) callbacks_.complete_to(revision_);
  if (!answer.value().events.empty() && options_.pause > milliseconds(0)) {
    co_await wait_for(options_.pause);
  }
  co_return true;
}

}  // namespace frostline::kv
