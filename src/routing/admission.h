/// @file Bounds the requests of a route that are in flight and that wait; each waits at most until
/// its own deadline, and what can't be admitted is refused at once.
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

  /// Admits in order of arrival. Each admission is ended by `leave`.
  awaitable<admission_result> enter(time_point deadline);
  void leave();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t queued() const { return queued_; }
  /// When a refused caller should come back: the time that the queue takes to empty.
  milliseconds retry_after() const;

 private:
  async_condition freed_;
  std::uint32_t concurrent_ = 1;
  std::uint32_t queued_limit_ = 0;
  std::uint32_t in_flight_ = 0;
  std::uint32_t queued_ = 0;
  std::uint64_t next_ticket_ = 0;
  std::uint64_t serving_ticket_ = 0;
  std::set<std::uint64_t> abandoned_;
  time_point last_leave_ = time_point::min();
  /// Smoothed time between two requests that leave.
  double leave_interval_ms_ = 1;
};

}  // namespace frostline::routing
