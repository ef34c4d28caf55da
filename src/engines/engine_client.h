/// @file One engine's published protocol: completions, cancel, load reports and fenced orders.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "engines/sse_parser.h"
#include "http/client.h"

namespace frostline::engines {

/// What an engine last said of itself, late by its lag.
struct load_report {
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  std::map<std::string, std::uint64_t> versions;
};

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
  /// The stream came to its proper end.
  finished,
  /// The engine refused; nothing was run.
  refused,
  /// The engine will never run this request.
  rejected,
  /// The stream broke; what came before it is good.
  interrupted,
};

struct completion_outcome {
  completion_end end = completion_end::interrupted;
  std::string detail;
};

/// A load order and what became of it.
struct load_order {
  std::string model;
  std::uint64_t version = 0;
  std::string weights;
  std::uint64_t epoch = 0;
};

enum class order_outcome { done, failed, fenced };

class engine_client {
 public:
  engine_client(http::client& transport, endpoint where)
      : transport_(transport), where_(std::move(where)) {}

  awaitable<std::optional<load_report>> fetch_load();
  /// Streams a completion. `on_tokens` returns false to give it up.
  awaitable<completion_outcome> complete(completion_request request,
                                         std::function<bool(token_event const&)> on_tokens);
  awaitable<void> cancel(std::string request_id);
  /// @param detail set to the engine's words if the order is not done.
  awaitable<order_outcome> load(load_order order, std::string& detail);

 private:
  http::client& transport_;
  endpoint where_;
};

}  // namespace frostline::engines
