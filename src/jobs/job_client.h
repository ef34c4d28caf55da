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
#include "ownership/pool_lease.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// What a node runs for one pool.
struct pool {
  std::unique_ptr<ownership::pool_lease> lease;
  std::unique_ptr<pool_owner> owner;
};

using pool_map = std::map<std::string, pool>;

class job_client {
 public:
  /// @param own_address where other nodes reach this one.
  job_client(asio::io_context& context, http::client& transport, pool_map& pools, std::string node,
             std::string own_address, std::string zone)
      : context_(context),
        transport_(transport),
        pools_(pools),
        node_(std::move(node)),
        own_address_(std::move(own_address)),
        zone_(std::move(zone)) {}

  /// Hands a job to the owner of `pool_name`.
  awaitable<rpc::JobReplyT> submit(std::string pool_name, rpc::JobCallT call, time_point deadline);
  /// Asks the owners of all pools, since a job's identifier does not tell its pool.
  awaitable<rpc::JobReplyT> ask(rpc::JobCallT call, time_point deadline);

 private:
  /// Asks one owner until it answers for certain, or `deadline`.
  awaitable<rpc::JobReplyT> ask_pool(pool& one, rpc::JobCallT const& call, time_point deadline);
  awaitable<rpc::JobReplyT> ask_remote(endpoint where, rpc::JobCallT const& call,
                                       time_point deadline);

  asio::io_context& context_;
  http::client& transport_;
  pool_map& pools_;
  std::string node_;
  std::string own_address_;
  std::string zone_;
  time_point started_at_ = steady_clock::now();
};

}  // namespace frostline::jobs
