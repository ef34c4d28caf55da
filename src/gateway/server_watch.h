/// @file Keeps the directory of servers in step with the servers' records.
///
/// Servers' records hang on leases, which may run out while the store is away; servers that live
/// write theirs anew soon after its return. So a record that goes right after such a return is not
/// taken for a departure at once.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/asio.h"
#include "directory/server_directory.h"
#include "gateway/adapter.h"
#include "kv/follower.h"
#include "relay/record_view.h"

namespace frostline::gateway {

/// When a server whose record goes at `now` counts as gone.
time_point departure_time(time_point now, time_point store_back_at, milliseconds leave_time);

class server_watch {
 public:
  /// @param leave_time time after which a server that has left must get nothing more.
  /// @param store_back_at when the store last answered again after a silence.
  server_watch(asio::io_context& context, platform_adapter& adapter,
               directory::server_directory& servers, milliseconds leave_time,
               std::function<time_point()> store_back_at)
      : context_(context),
        adapter_(adapter),
        servers_(servers),
        leave_time_(leave_time),
        store_back_at_(std::move(store_back_at)) {}

  /// To be told of the servers' records.
  kv::prefix_watcher_callbacks listener();
  /// Records that were passed over since they can't be read.
  std::uint64_t malformed() const { return malformed_; }
  /// Whom a server's record concerns: who calls its service. Records that differ only in what the
  /// owner of a pool alone needs have one digest.
  relay::trait_reader traits() const;

 private:
  void take_all(kv::range_answer const& all);
  void take_one(kv::watch_event const& event);
  /// Servers that this node does not follow any more.
  void forget(std::vector<std::string> const& keys);
  std::string id_of(std::string const& key) const;

  void note_malformed(kv::key_value const& record);
  void note_departure(std::string const& id);
  awaitable<void> remove_at(std::string id, time_point when);

  asio::io_context& context_;
  platform_adapter& adapter_;
  directory::server_directory& servers_;
  milliseconds leave_time_;
  std::function<time_point()> store_back_at_;
  /// Servers whose records went, and when they count as gone.
  std::map<std::string, time_point> missing_;
  std::uint64_t malformed_ = 0;
};

}  // namespace frostline::gateway
