/// @file Requests that end the servers that run them, during a soak and after its faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform_cluster.h"
#include "soak_checker.h"

namespace frostline::testing {

/// Sends one such request after the other to all nodes while it is switched on; each switch begins
/// another request.
class deadly_requests {
 public:
  /// @param key of the tenant whose requests they are.
  deadly_requests(platform_cluster& system, std::string key, std::uint64_t seed);
  ~deadly_requests();

  void switch_on();
  void switch_off() { on_ = false; }
  /// Ends the sending. To be called before `check`.
  void stop();
  /// Sends each request again at all nodes, which are calm.
  /// @param wait_for_service waits until others are served.
  /// @return requests that still reached servers more often than is allowed.
  std::vector<broken_promise> check(std::function<void()> const& wait_for_service);
  std::size_t count() const { return count_; }
  /// Tries of all of them.
  std::uint64_t sent() const { return next_id_; }
  /// Requests that ended three servers or more, after `check`.
  std::size_t judged() const { return judged_; }

 private:
  void send_loop(std::uint64_t seed);
  void send(std::size_t request, std::size_t node, bool repeatable);
  std::size_t crashes(std::size_t request);
  static std::string body_of(std::size_t request);

  platform_cluster& system_;
  std::string key_;
  std::atomic<bool> on_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<std::size_t> count_ = 0;
  std::atomic<std::uint64_t> next_id_ = 0;
  std::size_t judged_ = 0;
  std::thread sender_;
};

}  // namespace frostline::testing
