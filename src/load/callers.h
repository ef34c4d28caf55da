/// @file Ordinary callers: an open stream of calls over keep-alive connections, some of which must
/// not run twice and are asked again through another node when their outcome is unknown.
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
  /// When to call, and what.
  trace calls;
  std::string repeatable_path = "/lookup/price";
  std::string single_path = "/bid/lot";
  std::uint32_t most_attempts = 4;
  /// No call is made once this file is there; empty for none.
  std::string stop_file;
  std::string journal_path;
  /// Makes the identifiers of this run's requests its own.
  std::uint64_t seed = 1;
};

struct caller_report {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t given_up = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

class callers {
 public:
  callers(asio::io_context& context, caller_options options);

  awaitable<caller_report> run();

 private:
  struct one_call {
    std::uint64_t number = 0;
    bool single = false;
    std::string key;
    std::string target;
    std::string body;
  };
  enum class attempt_result { answered, try_again, give_up };

  bool is_told_to_stop() const;
  one_call make_request(arrival const& when);
  awaitable<void> make_call(one_call call);
  awaitable<attempt_result> attempt(one_call const& call, std::uint32_t number);
  attempt_result judge(one_call const& call, std::uint32_t number, http::response const& answer);

  asio::io_context& context_;
  caller_options options_;
  http::client client_;
  standin::journal journal_;
  std::uint64_t open_ = 0;
  std::vector<double> latencies_ms_;
  caller_report report_;
};

/// Value below which `share` of the values lie; 0 for none.
double percentile(std::vector<double> values, double share);

}  // namespace frostline::load
