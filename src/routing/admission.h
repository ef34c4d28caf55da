/// @file Admission control of a route: limits the requests in flight and in the queue. Requests
/// wait in the queue up to their deadline; requests beyond the queue limit are refused immediately.
#pragma once

#include <cstdint>
#include <set>

#include "base/asio.h"

namespace frostline::routing {

enum class admission_result { admitted, queue_full, deadline_passed };

class admission_gate {
 public:
  explicit admission_gate(asio::io_context& context) : freed_(context) {}

  void set_limits(std::uint32_t concurrent, std::uint32_t queued) {
    concurrent_ = concurrent;
    queued_limit_ = queued;
  }

  /// Admits requests in order of arrival. Each admitted request must call `leave`.
  awaitable<admission_result> enter(time_point deadline);
  void leave();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t queued() const { return queued_; }
  /// Retry delay for a refused caller: the estimated time until the queue is drained.
  milliseconds retry_after() const;

 private:
  async_condition freed_;
  std::uint32_t concurrent_ = 1;
  std::uint32_t queued_limit_ = 0;
  std::uint32_t in_flight_ = 0;
  std::uint32_t queued_ = 0;
  std::uint64_t next_ticket_ = 0;
  std::uint64_t serving_ticket_ = 0;
  /// Tickets of requests that left the queue at their deadline.
  std::set<std::uint64_t> abandoned_;
  time_point last_leave_ = time_point::min();
  /// Moving average of the time between two completed requests.
  double leave_interval_ms_ = 1;
};

}  // namespace frostline::routing
