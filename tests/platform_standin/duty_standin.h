/// @file Stand-in of the platform's service for calls of one node at a time, which checks no
/// fences: it takes reports of usage and notes what a real one would hold against the callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::testing {

/// What goes wrong at the service; read on its own thread only.
struct duty_faults {
  /// Calls get no answer and do nothing.
  bool silent = false;
  /// Calls get 429 and do nothing.
  bool busy = false;
  /// So many calls are taken and never answered.
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
  /// All that were taken, in the order of their arrival.
  std::vector<duty_call> const& calls() const { return calls_; }
  /// What the calls broke: two reports of one window that differ, a fence that goes back or is two
  /// holders', holders that take turns within `turn_gap`. One text for each.
  std::vector<std::string> violations(milliseconds turn_gap) const;
  /// Requests of a tenant in all windows together, each counted once.
  std::uint64_t reported(std::string const& tenant) const;

 private:
  awaitable<http::response> handle(http::request message);

  http::server server_;
  duty_faults faults_;
  std::vector<duty_call> calls_;
};

}  // namespace frostline::testing
