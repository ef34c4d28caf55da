/// @file Scores completed samples through the scorer's servers, with a limit on concurrent calls
/// that leaves capacity for other callers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "base/asio.h"
#include "calls/forwarder.h"
#include "calls/route_table.h"
#include "directory/server_directory.h"
#include "jobs/job_table.h"

namespace frostline::jobs {

/// References must outlive the scorer.
struct scorer_dependencies {
  asio::io_context& context;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::forwarder& forwarder;
  calls::header_names const& names;
  job_table& table;
  /// Returns false if another owner may have taken over while this process was suspended.
  std::function<bool()> may_resend;
  /// Wakes up the owner's loop.
  std::function<void()> notify;
};

struct scorer_counters {
  std::uint64_t scored = 0;
  /// Samples marked dead because their scorer failed too often.
  std::uint64_t dead = 0;
};

/// Returns the limit of concurrent calls for servers with `slots` slots in total: two thirds of the
/// slots, at least 4.
std::size_t max_concurrent_calls(std::size_t slots);

class sample_scorer {
 public:
  explicit sample_scorer(scorer_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Queues a sample with a complete text for scoring.
  void start(std::string const& job_id, std::uint32_t index);
  scorer_counters const& counters() const { return counters_; }

 private:
  struct queued_sample {
    std::string job;
    std::uint32_t index = 0;
  };

  void start_queued_calls();
  /// Returns the current limit of concurrent calls. Requires a non-empty queue.
  std::size_t limit();
  /// Next step after a call. `retry`: call again after a short delay; `requeue`: return to the
  /// queue after a longer delay, since the call is quarantined.
  enum class scoring_step { done, retry, requeue };

  awaitable<void> score(std::string job_id, std::uint32_t index);
  awaitable<scoring_step> score_once(std::string job_id, std::uint32_t index);
  awaitable<void> requeue_later(std::string job_id, std::uint32_t index);
  /// Returns the sample, or null if the sample no longer waits for a score.
  sample_entry* find_scoring(std::string const& job_id, std::uint32_t index);

  scorer_dependencies dependencies_;
  std::deque<queued_sample> queue_;
  std::size_t in_flight_ = 0;
  std::size_t limit_ = 0;
  time_point limit_valid_until_ = time_point::min();
  scorer_counters counters_;
};

}  // namespace frostline::jobs
