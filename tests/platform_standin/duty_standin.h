/// @file Stand-in for the platform's duty service. Only one node at a time may send it usage
/// reports. Unless a fault is injected, it accepts and records every well-formed report, including
/// those with an outdated fence number, so that tests can list rule violations afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::testing {

/// Injected faults. Access only on the stand-ins' thread.
struct duty_faults {
  /// Calls get no answer and have no effect.
  bool silent = false;
  /// Calls are answered 429 and have no effect.
  bool busy = false;
  /// Number of calls that are accepted but never answered.
  std::uint32_t lost_answers = 0;
};

struct duty_call {
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t> counts;
  time_point at{};
};

class duty_standin {
 public:
  duty_standin(asio::io_context& context, endpoint where);

  duty_faults& faults() { return faults_; }
  /// Returns all accepted calls in order of arrival.
  std::vector<duty_call> const& calls() const { return calls_; }
  /// Returns one text for each violation: reports of the same window that differ, a fence that
  /// decreases or is shared by two holders, or a call of a holder less than `holder_gap` after its
  /// previous call although another holder called in the meantime.
  std::vector<std::string> violations(milliseconds holder_gap) const;
  /// Returns the number of requests reported for a tenant, counting each window once.
  std::uint64_t reported(std::string const& tenant) const;

 private:
  awaitable<http::response> handle(http::request message);

  http::server server_;
  duty_faults faults_;
  std::vector<duty_call> calls_;
};

}  // namespace frostline::testing
