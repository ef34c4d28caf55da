/// @file Has finished samples scored by the scorer's servers, as many at once as leaves room there
/// for ordinary calls.
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

/// References outlive the scorer.
struct scorer_dependencies {
  asio::io_context& context;
  calls::active_configuration const& configuration;
  directory::server_directory const& servers;
  calls::forwarder& forwarder;
  calls::header_names const& names;
  job_table& table;
  /// Whether this process has not stood still so long that another owner may have ended the job.
  std::function<bool()> may_send_again;
  /// Something changed that the owner may act on.
  std::function<void()> notify;
};

struct scorer_counters {
  std::uint64_t scored = 0;
  /// Samples given up because their scorer failed too often.
  std::uint64_t dead = 0;
};

/// Calls that may be under way at once at servers with so many slots in all: two thirds of them.
std::size_t calls_at_once(std::size_t slots);

class sample_scorer {
 public:
  explicit sample_scorer(scorer_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Asks the scorer of a sample whose text is whole, as soon as there is room.
  void start(std::string const& job, std::uint32_t index);
  scorer_counters const& counters() const { return counters_; }

 private:
  struct waiting {
    std::string job;
    std::uint32_t index = 0;
  };

  void pump();
  /// Calls that may be under way now. The queue is not empty.
  std::size_t limit();
  /// What came of one call. `again`: at once; `later`: no server gets the call now.
  enum class scoring_step { over, again, later };

  awaitable<void> score(std::string job, std::uint32_t index);
  awaitable<scoring_step> score_once(std::string job, std::uint32_t index);
  awaitable<void> queue_later(std::string job, std::uint32_t index);
  /// The sample, if it still waits for its score.
  sample* waiting_sample(std::string const& job, std::uint32_t index);

  scorer_dependencies dependencies_;
  std::deque<waiting> queue_;
  std::size_t under_way_ = 0;
  std::size_t limit_ = 0;
  time_point limit_until_ = time_point::min();
  scorer_counters counters_;
};

}  // namespace frostline::jobs
