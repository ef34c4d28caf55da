#include "kv/follower.h"

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::kv {
namespace {

constexpr std::string_view k_part = "kv";
constexpr milliseconds k_retry_pause{150};

}  // namespace

follower::follower(asio::io_context& context, record_store& store, std::string prefix,
                   follower_callbacks callbacks, follower_options options)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      callbacks_(std::move(callbacks)),
      options_(options) {}

void follower::start() { spawn(context_, follow_loop(shared_from_this(), ++round_)); }

void follower::resynchronize() { start(); }

awaitable<void> follower::follow_loop(std::shared_ptr<follower> self, std::uint64_t round) {
  bool listed = false;
  while (round == round_) {
    bool const done = listed ? co_await watch_once(round) : co_await list_once(round);
    if (round != round_) co_return;
    listed = done;
    if (!done) co_await wait_for(with_jitter(k_retry_pause));
  }
}

awaitable<bool> follower::list_once(std::uint64_t round) {
  auto answer = co_await store_.list(prefix_);
  if (round != round_ || !answer) co_return false;
  // An answer from before what is known would take changes back.
  if (answer.value().store_revision < at_) co_return false;
  at_ = answer.value().store_revision;
  if (!loaded_) {
    log_line(log_level::info, k_part, "Records loaded.",
             {{"prefix", prefix_}, {"revision", at_}, {"records", answer.value().entries.size()}});
  }
  loaded_ = true;
  callbacks_.snapshot(answer.value());
  co_return true;
}

awaitable<bool> follower::watch_once(std::uint64_t round) {
  auto answer = co_await store_.watch(prefix_, at_, options_.watch_wait);
  if (round != round_) co_return false;
  if (!answer || answer.value().compacted) {
    log_line(log_level::info, k_part, "Watch ended; reading the range again.",
             {{"prefix", prefix_},
              {"revision", at_},
              {"cause", answer ? "compacted" : answer.error().message()}});
    co_return false;
  }
  for (watch_event const& event : answer.value().events) callbacks_.event(event);
  at_ = std::max(at_, answer.value().store_revision);
  if (!answer.value().events.empty() && options_.pause > milliseconds(0)) {
    co_await wait_for(options_.pause);
  }
  co_return true;
}

}  // namespace frostline::kv
