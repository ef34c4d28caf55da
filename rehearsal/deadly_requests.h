/// @file Requests that end the servers that run them, during a soak and after its faults: calls
/// that may be repeated and others, samples of jobs, and their scorers' calls.
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

/// Each such request has a mark of its own in its body.
class deadly_requests {
 public:
  /// @param key of the tenant whose requests they are.
  /// @param patience of the calls' callers.
  deadly_requests(platform_cluster& system, std::string key, std::uint64_t seed,
                  milliseconds patience);
  ~deadly_requests();

  /// Begins another call, which is sent to all nodes again and again while it is switched on.
  void switch_on();
  void switch_off() { on_ = false; }
  /// Hands in a job with a sample that ends engines, one whose scorer's call ends application
  /// servers, and one that ends nothing. It stays until the end.
  void hand_in_job();
  /// Ends the sending. To be called before `check`.
  void stop();
  /// Sends each request again at all nodes, which are calm.
  /// @param wait_for_service waits until others are served.
  /// @return requests that still reached servers more often than is allowed, and jobs whose
  /// harmless samples were not finished.
  std::vector<violation> check(std::function<void()> const& wait_for_service);
  std::size_t count() const { return calls_ + 2 * jobs_; }
  /// Tries of all calls.
  std::uint64_t sent() const { return next_id_; }
  /// Requests that ended three servers or more, after `check`.
  std::size_t judged() const { return judged_; }

 private:
  void send_loop(std::uint64_t seed);
  void send(std::size_t call, std::size_t node);
  bool submit(std::size_t node, std::string const& job, std::size_t number);
  bool is_harmless_finished(std::string const& job, std::size_t number);
  /// When servers ended under the request with this mark, in order.
  std::vector<time_point> crashes(std::string const& mark);
  /// @param calm_since from then on no node is disturbed.
  void judge(std::string const& mark, time_point calm_since, std::vector<violation>& broken);
  void check_call(std::size_t call, std::function<void()> const& wait_for_service,
                  std::vector<violation>& broken);
  void check_job(std::size_t number, std::function<void()> const& wait_for_service,
                 std::vector<violation>& broken);

  platform_cluster& system_;
  std::string key_;
  milliseconds patience_;
  std::atomic<bool> on_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<std::size_t> calls_ = 0;
  std::size_t jobs_ = 0;
  std::atomic<std::uint64_t> next_id_ = 0;
  std::size_t judged_ = 0;
  std::thread sender_;
};

}  // namespace frostline::testing
