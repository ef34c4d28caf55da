/// @file Replicates a shard's bulk data to disk nodes, in different zones where possible.
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

/// A node with a data folder, which can store replicas.
struct replica {
  std::string node;
  std::string zone;
  std::string address;
};

/// Sorts disk nodes by preference for storing `shard`: rendezvous order, but the second node is in
/// a different zone than the first if possible.
std::vector<replica> order_replicas(std::string const& shard, std::vector<replica> candidates);

/// Bulk data of a shard, merged from all disk nodes that replied.
struct recovered_bulk {
  /// Groups and samples without duplicates; a sample may be present once for each attempt.
  rpc::LoadBulkResponseT content;
  /// Groups and samples with fewer replicas than configured.
  rpc::StoreBulkRequestT under_replicated;
  std::size_t replicas_read = 0;
  std::size_t replicas_failed = 0;
};

class client {
 public:
  /// @param self identifies this node among the disk nodes (the nodes with a data folder).
  /// @param local the store of this node, or null if it has no data folder.
  /// @param replica_count number of disk nodes that must store each item.
  client(http::client& transport, membership::table const& members, replica self, store* local,
         std::size_t replica_count)
      : transport_(transport),
        members_(members),
        self_(std::move(self)),
        local_(local),
        replica_count_(replica_count) {}

  /// Stores the request on the configured number of disk nodes.
  /// @return false if fewer disk nodes stored it.
  awaitable<bool> put(rpc::StoreBulkRequestT request);
  /// Loads the shard from every live disk node and merges the results.
  awaitable<recovered_bulk> load(std::string task, std::uint32_t shard);
  /// Asks every live disk node to delete groups below `below`. Best effort.
  awaitable<void> forget(std::string task, std::uint32_t shard, std::uint64_t below);

 private:
  std::vector<replica> live_replicas() const;
  awaitable<std::optional<rpc::LoadBulkResponseT>> load_from(replica source,
                                                             rpc::LoadBulkRequestT const& request);
  awaitable<bool> store_on_replica(replica target, rpc::StoreBulkRequestT const& request);

  http::client& transport_;
  membership::table const& members_;
  replica self_;
  store* local_;
  std::size_t replica_count_;
};

}  // namespace frostline::bulk
