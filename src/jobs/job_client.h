/// @file Client side of the job service, on any node: routes a call to the pool's owner and retries
/// while ownership moves.
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

/// Per-pool state of a node.
struct pool {
  std::unique_ptr<ownership::owner_lease> lease;
  std::unique_ptr<pool_owner> owner;
};

using pool_map = std::map<std::string, pool>;

/// How a node describes itself to the owners that it calls.
struct calling_node {
  std::string id;
  /// Address at which other nodes reach this node.
  std::string address;
  std::string zone;
  /// Share of a core that the node may use.
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

  /// Submits a job to the owner of `pool_name`, or of the pool that has accepted it before.
  awaitable<rpc::JobReplyT> submit(std::string pool_name, rpc::JobCallT call, time_point deadline);
  /// Calls the owners of all pools in turn until one answers OK, since a job's identifier does not
  /// name the job's pool.
  awaitable<rpc::JobReplyT> ask(rpc::JobCallT call, time_point deadline);

 private:
  /// Calls the pool's owner until it gives a definite answer or `deadline` passes.
  awaitable<rpc::JobReplyT> call_owner(pool& target, rpc::JobCallT const& call,
                                       time_point deadline);
  awaitable<rpc::JobReplyT> call_remote_owner(endpoint where, rpc::JobCallT const& call,
                                              time_point deadline);

  void describe_self(rpc::JobCallT& call) const;
  /// Reads results from the record store when the owner delegates the read to this node.
  /// @param owner_reply reply of the owner, with the number of items and a lower bound of the
  /// number of results.
  awaitable<rpc::JobReplyT> read_stored(std::string pool, rpc::JobCallT call,
                                        rpc::JobReplyT owner_reply);

  asio::io_context& context_;
  http::client& transport_;
  kv::record_store& store_;
  pool_map& pools_;
  calling_node node_;
  time_point started_at_ = boot_clock::now();
};

}  // namespace frostline::jobs
