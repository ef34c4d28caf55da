/// @file Open-loop load of ordinary calls over keep-alive connections. Failed calls,
/// including those that must not run twice, are retried through the next node, except after a
/// response with status 409.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "load/arrivals.h"
#include "standin/journal.h"

namespace frostline::load {

struct caller_options {
  std::vector<endpoint> nodes;
  /// Arrival times and contents of the calls.
  trace calls;
  std::string repeatable_path = "/lookup/price";
  std::string at_most_once_path = "/bid/lot";
  std::uint32_t max_attempts = 4;
  /// The run ends early once this file exists; empty for none.
  std::string stop_file;
  std::string journal_path;
  /// Part of all request identifiers, so that those of different runs differ.
  std::uint64_t seed = 1;
};

struct caller_report {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t abandoned = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

class callers {
 public:
  callers(asio::io_context& context, caller_options options);

  awaitable<caller_report> run();

 private:
  struct outgoing_call {
    std::uint64_t number = 0;
    bool at_most_once = false;
    std::string key;
    std::string target;
    std::string body;
  };
  enum class attempt_result { answered, try_again, abandon };

  bool stop_requested() const;
  outgoing_call make_request(arrival const& planned);
  awaitable<void> make_call(outgoing_call call);
  awaitable<attempt_result> attempt(outgoing_call const& call, std::uint32_t number);
  attempt_result record_answer(outgoing_call const& call, std::uint32_t number,
                               http::response const& answer);

  asio::io_context& context_;
  caller_options options_;
  http::client client_;
  standin::journal journal_;
  std::uint64_t in_flight_ = 0;
  std::vector<double> latencies_ms_;
  caller_report report_;
};

/// Returns the value at quantile `share` (0 to 1); 0 if `values` is empty.
double percentile(std::vector<double> values, double share);

}  // namespace frostline::load
