/// @file Reads requests of operators and trainers from the record store. Only nodes that
/// own a pool watch these records, to limit the requests to the store.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/pool_registry.h"
#include "kv/prefix_watcher.h"

namespace frostline::gateway {

class operator_request_reader {
 public:
  /// @param take_configuration called with the value of the configuration's record when the watch
  /// first reads it and whenever it changes.
  operator_request_reader(asio::io_context& context, platform_adapter& adapter,
                          pool_registry& owners,
                          std::function<void(std::string_view)> take_configuration)
      : context_(context),
        adapter_(adapter),
        pools_(owners),
        take_configuration_(std::move(take_configuration)) {}

  /// Starts or stops the watch. @param owner true if this node owns a pool.
  void set_owner(bool owner);
  void resynchronize();
  /// Stops retrying to report machines as empty.
  void stop() { stopped_ = true; }

 private:
  void start();
  void handle_record(kv::key_value const& record);
  awaitable<void> report_empty(std::string machine);

  asio::io_context& context_;
  platform_adapter& adapter_;
  pool_registry& pools_;
  std::function<void(std::string_view)> take_configuration_;
  std::shared_ptr<kv::prefix_watcher> follower_;
  /// Requests to empty a machine that were handled: key and revision of their records.
  std::set<std::string> handled_empty_requests_;
  bool stopped_ = false;
};

}  // namespace frostline::gateway
