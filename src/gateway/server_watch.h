/// @file Keeps the directory of servers in step with the servers' records.
#pragma once

#include "directory/server_directory.h"
#include "gateway/adapter.h"
#include "kv/follower.h"
#include "relay/record_view.h"

namespace frostline::gateway {

class server_watch {
 public:
  server_watch(platform_adapter& adapter, directory::server_directory& servers)
      : adapter_(adapter), servers_(servers) {}

  /// To be told of the servers' records.
  kv::follower_callbacks listener();
  /// Whether callers can treat two records of a server alike; a malformed one is like no other.
  relay::record_view::comparison alike() const;

 private:
  void take_all(kv::range_answer const& all);
  void take_one(kv::watch_event const& event);

  platform_adapter& adapter_;
  directory::server_directory& servers_;
};

}  // namespace frostline::gateway
