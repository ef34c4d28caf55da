/// @file Metrics of a gateway node in the Prometheus text format.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "calls/forwarder.h"
#include "jobs/sample_runner.h"
#include "relay/record_feed.h"
#include "usage/usage_reporter.h"

namespace frostline::gateway {

struct pool_snapshot {
  std::string name;
  bool owned = false;
  std::size_t jobs = 0;
  std::size_t running = 0;
  jobs::runner_counters runs;
  jobs::scorer_counters scoring;
  engines::memory_counters memory;
  std::uint64_t orders = 0;
  std::uint64_t transactions = 0;
};

struct usage_snapshot {
  /// True if this node is the duty holder: the one that reports usage to the duty service.
  bool is_holder = false;
  usage::reporter_counters counters;
  /// Requests that were counted after their window had closed.
  std::uint64_t late = 0;
};

/// Counters of all components at one time.
struct node_snapshot {
  std::uint64_t config_version = 0;
  std::size_t servers = 0;
  std::uint64_t malformed_servers = 0;
  calls::call_counters calls;
  balancing::pace_counters paces;
  quarantine::quarantine_counters quarantine;
  std::size_t quarantine_records = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t logs_dropped = 0;
  std::uint64_t unhandled_exceptions = 0;
  /// Memory that the bodies of requests take, in bytes.
  std::size_t request_memory_held = 0;
  std::uint64_t refused_for_memory = 0;
  std::uint64_t connections_evicted = 0;
  /// Memory that the jobs of this node's pools take, in bytes.
  std::size_t job_memory_held = 0;
  relay::feed_role role = relay::feed_role::standby;
  relay::feed_counters records;
  std::uint64_t polls_answered = 0;
  std::uint64_t slow_servers_sent = 0;
  std::uint64_t snapshot_answers = 0;
  std::uint64_t snapshot_records = 0;
  /// Number of records that this node holds, by topic.
  std::vector<std::pair<std::string, std::size_t>> records_held;
  milliseconds records_age{0};
  /// Time since the store last answered each watch of this node, by topic.
  std::vector<std::pair<std::string, milliseconds>> watch_ages;
  std::vector<pool_snapshot> pools;
  /// Requests of tenants that servers may have begun to run.
  std::uint64_t tenants_requests = 0;
  std::optional<usage_snapshot> usage;
};

class metrics {
 public:
  metrics();

  void note_call(milliseconds duration);
  void note_submission(milliseconds duration);
  /// Counts a request that was refused for a missing or invalid key.
  void note_access_refused() { ++access_refused_; }
  std::string write(node_snapshot const& snapshot);

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Histogram& calls_;
  prometheus::Histogram& submissions_;
  std::uint64_t access_refused_ = 0;
};

}  // namespace frostline::gateway
