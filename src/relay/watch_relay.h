/// @file The side of a node that passes on what it watches: other nodes ask it instead of the
/// record store, so that each change costs one call to the store and not one for each node.
#pragma once

#include <functional>

#include "base/asio.h"
#include "relay/change_history.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {

class watch_relay {
 public:
  /// A relay that has not heard from the store for that long does not know whether it misses
  /// changes.
  static constexpr milliseconds k_longest_silence{800};

  /// @param confirmed_at when the store last answered this node for certain.
  watch_relay(asio::io_context& context, std::function<time_point()> confirmed_at)
      : confirmed_at_(std::move(confirmed_at)), changed_(context) {}

  change_history& history() { return history_; }
  /// To be called after the history has grown.
  void notify() { changed_.notify_all(); }
  /// Waits for changes after a revision, as the store's own watch does.
  awaitable<rpc::WatchReplyT> watch(rpc::WatchCallT call);

 private:
  bool is_sure(time_point now) const { return confirmed_at_() + k_longest_silence >= now; }

  std::function<time_point()> confirmed_at_;
  change_history history_;
  async_condition changed_;
};

}  // namespace frostline::relay
