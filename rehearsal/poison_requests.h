/// @file Sends poison requests, which crash the servers that run them, during a soak: repeatable
/// and other calls, and calls of scorers. After the faults it checks that the gateways limit the
/// crashes. Also submits samples under which several engines crash, and checks that they are
/// completed all the same.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "crash_count.h"
#include "platform_cluster.h"
#include "soak_checker.h"

namespace frostline::testing {

/// Each poison request carries a unique marker in its body.
class poison_requests {
 public:
  /// @param key API key of the calls.
  /// @param call_timeout time after which a caller closes its connection.
  poison_requests(platform_cluster& system, std::string key, std::uint64_t seed,
                  milliseconds call_timeout);
  ~poison_requests();

  /// Starts a new call and sends it repeatedly to random nodes until `stop_sending_call`.
  void start_sending_call();
  void stop_sending_call() { sending_ = false; }
  /// Submits a job of three samples: engines crash under one, the scorer call of one crashes
  /// application servers, and one is harmless. The job is never ended.
  void submit_poison_job();
  /// Stops the sender thread. Call this before `check`.
  void stop();
  /// After all faults have ended, sends each call that crashed servers until it has crashed three,
  /// then again through every node, and submits the samples of each job again.
  /// @param wait_for_service waits until harmless calls are served.
  /// @return requests that reached servers more often than allowed, and jobs whose harmless
  /// samples, or those under which engines crashed, were not completed.
  std::vector<violation> check(std::function<void()> const& wait_for_service);
  /// Number of poison requests: all calls, and one for each job.
  std::size_t count() const { return calls_ + jobs_; }
  /// Number of times that calls were sent, including repetitions.
  std::uint64_t sent() const { return next_id_; }
  /// Number of requests that crashed at least three servers; valid after `check`.
  std::size_t retries_checked() const { return retries_checked_; }

 private:
  void send_loop(std::uint64_t seed);
  void send(std::size_t call, std::size_t node);
  bool submit(std::size_t node, std::string const& job, std::size_t number);
  bool is_completed(std::string const& job, std::size_t number, std::string const& item);
  /// Returns when and where the request with this marker reached servers that ended under it, in
  /// ascending order of time.
  std::vector<poison_arrival> find_arrivals(std::string const& marker);
  /// Sends a call that has ended one or two servers until it has ended three, or is refused, and
  /// waits until all nodes must have quarantined it.
  void complete_evidence(std::size_t call, std::function<void()> const& wait_for_service);
  /// Checks that the request with this marker, if it has crashed at least three servers, reached
  /// servers at most `k_retries_allowed` times after `faults_ended_at` and more than
  /// `k_propagation_time` after the third crash.
  /// @param faults_ended_at no node is disturbed after this time. Earlier crashes are not counted,
  /// since faults may delay the quarantine.
  void check_retries(std::string const& marker, time_point faults_ended_at,
                     std::vector<violation>& broken);
  void check_call(std::size_t call, std::function<void()> const& wait_for_service,
                  std::vector<violation>& broken);
  void check_job(std::size_t number, std::function<void()> const& wait_for_service,
                 std::vector<violation>& broken);

  platform_cluster& system_;
  std::string key_;
  milliseconds call_timeout_;
  std::atomic<bool> sending_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> calls_ = 0;
  std::size_t jobs_ = 0;
  std::atomic<std::uint64_t> next_id_ = 0;
  std::size_t retries_checked_ = 0;
  std::thread sender_;
};

}  // namespace frostline::testing
