/// @file Updates the server directory from the servers' records.
///
/// Servers' records are attached to leases, which may expire during an outage of the store; live
/// servers rewrite their records soon after its return. Therefore a ready server whose record is
/// deleted shortly after an outage is removed only after a delay.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/asio.h"
#include "directory/server_directory.h"
#include "gateway/adapter.h"
#include "kv/prefix_watcher.h"
#include "relay/record_view.h"

namespace frostline::gateway {

/// Returns when a server whose record is deleted at `now` has to be removed from the directory.
time_point departure_time(time_point now, time_point store_back_at, milliseconds leave_time);

class directory_updater {
 public:
  /// @param leave_time time after the deletion of a server's record from which the server must
  /// receive no more requests.
  /// @param store_back_at returns the end of the store's last outage; time_point::min() if there
  /// was none.
  directory_updater(asio::io_context& context, platform_adapter& adapter,
                    directory::server_directory& servers, milliseconds leave_time,
                    std::function<time_point()> store_back_at)
      : context_(context),
        adapter_(adapter),
        servers_(servers),
        leave_time_(leave_time),
        store_back_at_(std::move(store_back_at)) {}

  /// Returns the callbacks for changes of the servers' records.
  kv::prefix_watcher_callbacks listener();
  /// Number of records that were skipped because they can't be parsed.
  std::uint64_t malformed() const { return malformed_; }
  /// Returns a function that extracts the relay's traits from a server's record: its service, a
  /// hash of its address, and a digest of what callers of the service use. Records that differ only
  /// in what a pool's owner uses have the same digest.
  relay::trait_reader traits() const;

 private:
  void take_all(kv::range_answer const& all);
  void take_one(kv::watch_event const& event);
  /// Removes servers whose records this node no longer follows.
  void forget(std::vector<std::string> const& keys);
  std::string id_of(std::string const& key) const;

  void note_malformed(kv::key_value const& record);
  void note_departure(std::string const& id);
  awaitable<void> remove_at(std::string id, time_point departure_at);

  asio::io_context& context_;
  platform_adapter& adapter_;
  directory::server_directory& servers_;
  milliseconds leave_time_;
  std::function<time_point()> store_back_at_;
  /// Ids of servers whose records were deleted, and when to remove them from the directory.
  std::map<std::string, time_point> pending_departures_;
  std::uint64_t malformed_ = 0;
};

}  // namespace frostline::gateway
