/// @file The samples of one shard and where each stands. Pure.
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

/// A prompt of which several samples are wanted.
struct sample_group {
  std::uint64_t group = 0;
  std::string prompt;
  std::uint32_t samples = 1;
  std::uint32_t max_tokens = 256;

  bool operator==(sample_group const&) const = default;
};

/// A sample that has been generated and scored.
struct finished_sample {
  sample_key key;
  std::string attempt;
  std::string text;
  span_list spans;
  double score = 0;
  bool scored = false;
  bool failed = false;
};

/// Tokens that an interrupted run leaves for the next engine to go on from.
struct partial_run {
  std::string text;
  span_list spans;
};

/// Where a sample stands. queued -> running -> finished -> delivered; running and finished go back
/// to queued when the run broke or became too old; delivered goes back only when a batch that no
/// trainer can have used is replaced.
enum class sample_state { queued, running, finished, delivered };

/// What to run next.
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
  /// @param attempt_prefix makes the attempts of this owner unique: task, shard and epoch.
  explicit sample_table(std::string attempt_prefix) : attempt_prefix_(std::move(attempt_prefix)) {}

  /// Adds a group; samples that `delivered` holds are not run again.
  add_result add_group(sample_group group, delivery::delivered_set const& delivered);
  bool knows_group(std::uint64_t group) const { return groups_.contains(group); }

  /// Samples of a group; 0 if it is unknown.
  std::uint32_t group_size(std::uint64_t group) const;

  /// Group of the sample that take_next would return.
  std::optional<std::uint64_t> peek_group(time_point now);
  /// Takes the next sample to run, and counts it as running.
  std::optional<work_item> take_next(time_point now);
  /// When the next delayed sample is due; time_point::max() if none is.
  time_point next_due() const;

  /// The run ended well. @return false if another attempt holds the sample by now.
  bool finish(finished_sample sample);
  /// The run broke; it is tried again at `not_before`, from `resume` if that is given.
  void interrupt(sample_key key, std::string const& attempt, time_point not_before,
                 partial_run resume);
  /// The run's tokens are too old: start over.
  void restart(sample_key key, std::string const& attempt);

  /// Puts finished samples that are over the bound back into the queue. @return how many.
  std::size_t drop_stale(std::uint64_t published, std::uint32_t bound);
  /// Up to `limit` finished samples, the earliest finished first.
  std::vector<finished_sample const*> finished(std::size_t limit) const;
  finished_sample const* find_finished(sample_key key) const;
  /// Content of delivered samples, kept until the trainer has acknowledged them.
  finished_sample const* find_delivered(sample_key key) const;

  void mark_delivered(std::vector<sample_key> const& keys);
  /// Gives a delivered sample its content back, as another owner stored it.
  void restore_content(finished_sample sample);
  /// Takes samples back that a replaced batch held.
  void withdraw(std::vector<sample_key> const& keys);
  /// The trainer has made these durable: their content is forgotten.
  void forget_content(std::vector<sample_key> const& keys);
  /// Forgets groups that are delivered in full.
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

  void enqueue(sample_key key, entry& held, bool first);
  /// Brings due and still queued samples to the front of `ready_`.
  bool settle_ready(time_point now);
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
