/// @file What clients ask for: whether they may, and whether it is a job, a call about one, or an
/// ordinary call.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "calls/caller.h"
#include "calls/forwarder.h"
#include "calls/route_table.h"
#include "gateway/adapter.h"
#include "gateway/metrics.h"
#include "jobs/job_client.h"

namespace frostline::gateway {

/// References outlive the calls.
struct client_calls_dependencies {
  platform_adapter& adapter;
  calls::active_configuration const& configuration;
  calls::forwarder& forwarder;
  jobs::job_client& jobs;
  metrics& request_metrics;
  /// How old this node's records are, for the log.
  std::function<milliseconds()> records_age;
};

class client_calls {
 public:
  explicit client_calls(client_calls_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Answers one request.
  awaitable<void> handle(http::request message, calls::caller& from);

 private:
  awaitable<void> handle_job(job_request request, calls::caller& from);
  awaitable<void> handle_submission(http::request message, calls::route const& by,
                                    std::string const& tenant, calls::caller& from);
  /// Names the caller's tenant in a call about a job. @return false if it was refused and answered.
  awaitable<bool> admit_job_call(calls::route_table const* table, http::request const& message,
                                 job_request& request, calls::caller& from);
  awaitable<void> refuse_access(calls::credentials verdict, calls::route_table const& table,
                                std::string_view request, calls::caller& from);

  client_calls_dependencies dependencies_;
};

}  // namespace frostline::gateway
