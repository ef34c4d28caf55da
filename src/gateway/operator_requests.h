/// @file What operators and trainers ask for in the record store: read by owners only, so that each
/// request is seen by few nodes and acted on by one.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "gateway/adapter.h"
#include "gateway/pools.h"
#include "kv/follower.h"

namespace frostline::gateway {

class operator_requests {
 public:
  /// @param take_configuration gets the configuration's record when it changes.
  operator_requests(asio::io_context& context, platform_adapter& adapter, pools& owners,
                    std::function<void(std::string_view)> take_configuration)
      : context_(context),
        adapter_(adapter),
        pools_(owners),
        take_configuration_(std::move(take_configuration)) {}

  void set_owner(bool owner);
  void resynchronize();
  /// Nothing is reported any more.
  void stop() { stopped_ = true; }

 private:
  void start();
  void take(kv::key_value const& record);
  awaitable<void> report_empty(std::string machine);

  asio::io_context& context_;
  platform_adapter& adapter_;
  pools& pools_;
  std::function<void(std::string_view)> take_configuration_;
  std::shared_ptr<kv::prefix_watcher> follower_;
  /// Requests to empty a machine that were taken, by key and revision.
  std::set<std::string> emptied_;
  bool stopped_ = false;
};

}  // namespace frostline::gateway
