/// @file Client of one engine's HTTP API: completions, cancellation, load reports (requests
/// running and waiting) and orders to load weights, which carry a fencing epoch.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "engines/sse_parser.h"
#include "http/client.h"

namespace frostline::engines {

/// Utilization and loaded weight versions that an engine reports. The report may lag behind the
/// engine's actual state.
struct load_report {
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  std::map<std::string, std::uint64_t> versions;
};

/// @return nothing if `json` is not a JSON object.
std::optional<load_report> parse_load_report(std::string const& json);

struct completion_request {
  std::string id;
  std::string model;
  std::string prompt;
  std::uint32_t sample_index = 0;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  std::uint32_t resume_tokens = 0;
  std::uint64_t epoch = 0;
};

/// How a completion ended.
enum class completion_end {
  /// The stream ended with its end marker.
  finished,
  /// The engine reported that it did not run the request, or no connection could be opened.
  refused,
  /// The request is invalid and must not be retried.
  rejected,
  /// The stream broke, was aborted, or the engine reported another error. Events received before
  /// that are valid.
  interrupted,
};

struct completion_outcome {
  completion_end end = completion_end::interrupted;
  std::string detail;
};

struct load_order {
  std::string model;
  std::uint64_t version = 0;
  std::string weights;
  std::uint64_t epoch = 0;
};

enum class order_outcome { done, failed, fenced };

class engine_client {
 public:
  engine_client(http::client& transport, endpoint address)
      : transport_(transport), endpoint_(std::move(address)) {}

  awaitable<std::optional<load_report>> fetch_load();
  /// Streams a completion. `on_tokens` returns false to abort the request.
  awaitable<completion_outcome> complete(completion_request request,
                                         std::function<bool(token_event const&)> on_tokens);
  awaitable<void> cancel(std::string request_id);
  /// Sends a load order and waits until the engine has carried it out.
  /// @param detail set to the error message unless the outcome is `done`.
  awaitable<order_outcome> load(load_order order, std::string& detail);

 private:
  http::client& transport_;
  endpoint endpoint_;
};

}  // namespace frostline::engines
