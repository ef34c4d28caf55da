/// @file Authorizes client requests and dispatches them: job submissions, calls about existing
/// jobs, and ordinary calls.
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
#include "gateway/stop_admission.h"
#include "jobs/job_client.h"

namespace frostline::gateway {

/// References must outlive the client_calls object.
struct client_calls_dependencies {
  platform_adapter& adapter;
  calls::active_configuration const& configuration;
  calls::forwarder& forwarder;
  jobs::job_client& jobs;
  metrics& request_metrics;
  /// Age of this node's copy of the store's records, for log lines.
  std::function<milliseconds()> records_age;
};

class client_calls {
 public:
  explicit client_calls(client_calls_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  awaitable<void> handle(http::request message, calls::caller& client);

  /// Applies to requests that arrive from now on; see stop_admission.
  void begin_stop(time_point refuse_from, time_point ends_at) {
    admission_.begin_stop(refuse_from, ends_at);
  }

 private:
  awaitable<void> handle_job(job_request request, calls::caller& client);
  awaitable<void> handle_submission(http::request message, calls::route const& matched_route,
                                    std::string const& tenant, calls::caller& client);
  /// Authorizes a call about a job, and sets the caller's tenant in `request`. @return false if the
  /// call was refused; the client then has its answer.
  awaitable<bool> admit_job_call(calls::route_table const* table, http::request const& message,
                                 job_request& request, calls::caller& client);
  /// Answers a request that may outlast this node's planned stop; it has not run.
  awaitable<void> refuse_while_stopping(std::string_view request, std::string_view route,
                                        time_point deadline, calls::caller& client);
  awaitable<void> refuse_access(calls::credential_status key_check, calls::route_table const& table,
                                std::string_view request, calls::caller& client);

  client_calls_dependencies dependencies_;
  stop_admission admission_;
};

}  // namespace frostline::gateway
