/// @file Calls of submitters on any node: finds the pool's owner and asks again while ownership
/// moves.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "http/client.h"
#include "jobs/pool_owner.h"
#include "ownership/owner_lease.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// What a node runs for one pool.
struct pool {
  std::unique_ptr<ownership::owner_lease> lease;
  std::unique_ptr<pool_owner> owner;
};

using pool_map = std::map<std::string, pool>;

/// What a node says of itself to the owners that it asks.
struct calling_node {
  std::string id;
  /// Where other nodes reach it.
  std::string address;
  std::string zone;
  /// Share of a core that it may use.
  double processor_share = 0;
};

class job_client {
 public:
  job_client(asio::io_context& context, http::client& transport, kv::record_store& store,
             pool_map& pools, calling_node node)
      : context_(context),
        transport_(transport),
        store_(store),
        pools_(pools),
        node_(std::move(node)) {}

  /// Hands a job to the owner of `pool_name`.
  awaitable<rpc::JobReplyT> submit(std::string pool_name, rpc::JobCallT call, time_point deadline);
  /// Asks the owners of all pools, since a job's identifier does not tell its pool.
  awaitable<rpc::JobReplyT> ask(rpc::JobCallT call, time_point deadline);

 private:
  /// Asks one owner until it answers for certain, or `deadline`.
  awaitable<rpc::JobReplyT> ask_pool(pool& one, rpc::JobCallT const& call, time_point deadline);
  awaitable<rpc::JobReplyT> ask_remote(endpoint where, rpc::JobCallT const& call,
                                       time_point deadline);

  void describe_self(rpc::JobCallT& call) const;
  /// The owner left the reading to this node.
  /// @param told the owner's answer: how many items there are, and results at least.
  awaitable<rpc::JobReplyT> read_stored(std::string pool, rpc::JobCallT call, rpc::JobReplyT told);

  asio::io_context& context_;
  http::client& transport_;
  kv::record_store& store_;
  pool_map& pools_;
  calling_node node_;
  time_point started_at_ = boot_clock::now();
};

}  // namespace frostline::jobs
