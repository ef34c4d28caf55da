/// @file State of all samples of one shard. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "delivery/delivered_set.h"
#include "engines/spans.h"

namespace frostline::rollout {

using delivery::sample_key;
using engines::span_list;

/// A prompt and the number of samples to generate from it.
struct sample_group {
  std::uint64_t group = 0;
  std::string prompt;
  std::uint32_t samples = 1;
  std::uint32_t max_tokens = 256;

  bool operator==(sample_group const&) const = default;
};

/// Result of a sample: its text, spans and score, or a failure.
struct finished_sample {
  sample_key key;
  std::string attempt;
  std::string text;
  span_list spans;
  double score = 0;
  bool scored = false;
  bool failed = false;
};

/// Output of an interrupted run, from which another engine can resume.
struct partial_run {
  std::string text;
  span_list spans;
};

/// State of a sample: queued -> running -> finished -> delivered. Running and finished samples
/// return to queued if their run fails or exceeds the freshness bound. Delivered samples return to
/// queued only if their batch is replaced before the trainer has acknowledged it.
enum class sample_state { queued, running, finished, delivered };

/// A sample to run, with the attempt that identifies this run.
struct work_item {
  sample_key key;
  sample_group group;
  std::string attempt;
  partial_run resume;
};

struct table_counts {
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t finished = 0;
  std::uint64_t reruns_for_freshness = 0;
  std::uint64_t wasted_tokens = 0;
};

enum class add_result { added, known, conflict };

class sample_table {
 public:
  /// @param attempt_prefix task, shard and epoch; makes attempt identifiers unique to this owner.
  explicit sample_table(std::string attempt_prefix) : attempt_prefix_(std::move(attempt_prefix)) {}

  /// Adds a group and queues its samples, except those in `delivered`.
  add_result add_group(sample_group group, delivery::delivered_set const& delivered);
  bool knows_group(std::uint64_t group) const { return groups_.contains(group); }

  /// Returns the number of samples in a group, or 0 if the group is unknown.
  std::uint32_t group_size(std::uint64_t group) const;

  /// Returns the group of the sample that `take_next` would return.
  std::optional<std::uint64_t> peek_group(time_point now);
  /// Returns the next sample to run and marks it as running, or nullopt if none is ready.
  std::optional<work_item> take_next(time_point now);
  /// Returns when the next delayed sample becomes ready, or time_point::max() if none is delayed.
  time_point next_due() const;

  /// Records a finished sample. @return false if the sample is neither queued nor running as
  /// `sample.attempt`; the result is then ignored.
  bool finish(finished_sample sample);
  /// Queues the sample of a failed run again. The next run starts at `not_before` or later and
  /// resumes from `resume` unless that is empty.
  void interrupt(sample_key key, std::string const& attempt, time_point not_before,
                 partial_run resume);
  /// Queues a sample again from the start, because its tokens exceed the freshness bound.
  void restart(sample_key key, std::string const& attempt);

  /// Queues finished samples that exceed the freshness bound again, except failed ones.
  /// @return number of samples queued.
  std::size_t drop_stale(std::uint64_t published, std::uint32_t bound);
  /// Returns up to `limit` finished samples in the order in which they finished.
  std::vector<finished_sample const*> finished(std::size_t limit) const;
  finished_sample const* find_finished(sample_key key) const;
  /// Returns a delivered sample, or null once its content has been dropped.
  finished_sample const* find_delivered(sample_key key) const;

  void mark_delivered(std::vector<sample_key> const& keys);
  /// Restores the content of a delivered sample that a previous owner stored.
  void restore_content(finished_sample sample);
  /// Queues delivered samples of a replaced batch again.
  void withdraw(std::vector<sample_key> const& keys);
  /// Drops the content of samples that the trainer has acknowledged as durable.
  void forget_content(std::vector<sample_key> const& keys);
  /// Removes all groups with numbers below `watermark`; all their samples must be delivered.
  void forget_below(std::uint64_t watermark);

  table_counts const& counts() const { return counts_; }
  bool nothing_outstanding() const { return counts_.queued == 0 && counts_.running == 0; }

 private:
  struct entry {
    sample_state state = sample_state::queued;
    std::string attempt;
    partial_run resume;
    finished_sample result;
  };

  void enqueue(sample_key key, entry& sample_entry, bool first);
  /// Moves due samples from `delayed_` to `ready_` and removes entries that are no longer queued.
  /// @return true if the front of `ready_` can run.
  bool advance_ready_queue(time_point now);
  entry* find_running(sample_key key, std::string const& attempt);

  std::string attempt_prefix_;
  std::uint64_t next_attempt_ = 1;
  std::map<std::uint64_t, sample_group> groups_;
  std::map<sample_key, entry> entries_;
  std::deque<sample_key> ready_;
  std::multimap<time_point, sample_key> delayed_;
  std::deque<sample_key> finish_order_;
  table_counts counts_;
};

}  // namespace frostline::rollout
