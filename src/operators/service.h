/// @file RPC methods for operators: configuration changes by compare-and-swap, and the status.
#pragma once

#include <functional>
#include <string>

#include "base/asio.h"
#include "config/store.h"
#include "config/sync.h"
#include "http/client.h"
#include "kv/client.h"
#include "machines/machine_list.h"
#include "membership/table.h"
#include "rpc/dispatcher.h"

namespace frostline::operators {

/// Validates a task record sent by an operator.
/// @param existing stored record of the same task, or null if the task is new.
/// @return an error message; empty if the record is valid.
std::string check_task(rpc::TaskRecordT const& task, rpc::TaskRecordT const* existing);
/// Validates a route record sent by an operator.
/// @return an error message; empty if the record is valid.
std::string check_route(rpc::RouteRecordT const& route);

class service {
 public:
  /// @param describe_local adds the state that only this node has to a status response.
  service(kv::client& kv_service, http::client& transport, config::store const& store,
          config::sync& sync, membership::table const& members,
          machines::machine_list const& machines,
          std::function<void(rpc::GetStatusResponseT&)> describe_local);

  void register_methods(rpc::dispatcher& methods);

 private:
  using change_reply = rpc::reply<rpc::ChangeResponseT>;
  using status_reply = rpc::reply<rpc::GetStatusResponseT>;

  /// A write of one record, accepted only if its key still has the expected revision.
  struct change {
    std::string key;
    std::string value;
    std::string token;
    /// 0 if the key must not exist.
    kv::revision expected = 0;
  };

  awaitable<change_reply> put_task(rpc::PutTaskRequestT request);
  awaitable<change_reply> publish(rpc::PublishVersionRequestT request);
  awaitable<change_reply> try_publish(rpc::PublishVersionRequestT request);
  awaitable<change_reply> put_route(rpc::PutRouteRequestT request);
  awaitable<change_reply> set_drain(rpc::SetDrainRequestT request);
  awaitable<status_reply> status(rpc::GetStatusRequestT request);

  awaitable<change_reply> write(change pending);
  awaitable<change_reply> resolve_outcome(change pending);
  change_reply apply_conflicting_write(change const& pending, kv::transaction_answer const& answer);
  void add_configuration(rpc::GetStatusResponseT& status) const;
  void add_nodes(rpc::GetStatusResponseT& status) const;
  void add_uncontrolled_engines(rpc::GetStatusResponseT& status) const;
  awaitable<void> add_from_peers(rpc::GetStatusResponseT& status);

  kv::client& kv_;
  http::client& transport_;
  config::store const& store_;
  config::sync& sync_;
  membership::table const& members_;
  machines::machine_list const& machines_;
  std::function<void(rpc::GetStatusResponseT&)> describe_local_;
};

}  // namespace frostline::operators
