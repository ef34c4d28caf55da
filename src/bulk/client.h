/// @file Keeps two copies of a shard's bulk data on disk nodes of different zones.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "bulk/store.h"
#include "http/client.h"
#include "membership/table.h"

namespace frostline::bulk {

/// A disk node that may hold copies.
struct replica {
  std::string node;
  std::string zone;
  std::string address;
};

/// Disk nodes in the order in which they should hold copies of `shard`: rendezvous order, with the
/// second one in another zone than the first where there is one. Pure.
std::vector<replica> order_replicas(std::string const& shard, std::vector<replica> candidates);

/// What a shard's owner learns from all disk nodes that answer.
struct recovered_bulk {
  /// Each group and sample once.
  rpc::LoadBulkResponseT content;
  /// Those of them of which there were too few copies.
  rpc::StoreBulkRequestT short_of_copies;
  std::size_t replicas_read = 0;
  std::size_t replicas_failed = 0;
};

class client {
 public:
  /// @param self this node as a replica; its address is empty if it has no disk.
  /// @param copies how many disk nodes must hold everything.
  client(http::client& transport, membership::table const& members, replica self, store* local,
         std::size_t copies)
      : transport_(transport),
        members_(members),
        self_(std::move(self)),
        local_(local),
        copies_(copies) {}

  /// Stores on as many disk nodes as there must be copies. @return whether they all did.
  awaitable<bool> put(rpc::StoreBulkRequestT request);
  /// Reads the shard from every disk node that answers.
  awaitable<recovered_bulk> load(std::string task, std::uint32_t shard);
  /// Tells every disk node what it may forget; without a guarantee.
  awaitable<void> forget(std::string task, std::uint32_t shard, std::uint64_t below);

 private:
  std::vector<replica> live_replicas() const;
  awaitable<std::optional<rpc::LoadBulkResponseT>> load_from(replica source,
                                                             rpc::LoadBulkRequestT const& request);
  awaitable<bool> put_on(replica target, rpc::StoreBulkRequestT const& request);

  http::client& transport_;
  membership::table const& members_;
  replica self_;
  store* local_;
  std::size_t copies_;
};

}  // namespace frostline::bulk
