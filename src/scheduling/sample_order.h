/// @file Order in which the waiting samples of a pool start. Performs no I/O and reads no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "scheduling/run_estimate.h"

namespace frostline::scheduling {

enum class sample_phase { waiting, running, scoring, finished };

/// What the order depends on of one sample.
struct sample_facts {
  sample_phase phase = sample_phase::waiting;
  std::uint32_t index = 0;
  /// Number of the sample's group within its job, less than `job_facts::groups`.
  std::uint32_t group = 0;
  bool resubmitted = false;
  bool has_scorer = false;
  run_length length;
};

/// Priorities and age of a job, which all its samples share.
struct job_key {
  std::uint32_t tenant_priority = 0;
  std::uint32_t priority = 0;
  /// Position in the order of acceptance.
  std::uint64_t sequence = 0;
};

/// What the order by due time depends on of one job.
struct job_facts {
  job_key key;
  std::string_view model;
  time_point accepted_at{};
  /// Time after acceptance by which the job is due; 0 if it has no due time.
  milliseconds due{0};
  /// Groups that must be complete; 0 if all must be.
  std::uint64_t desired = 0;
  std::uint32_t groups = 0;
  /// All samples of the job, by index.
  std::vector<sample_facts> samples;
};

/// How long a job has yielded to others. Belongs to the job; changed by `sample_order::judge`.
struct yield_state {
  time_point::duration total{0};
  /// Time of the previous judgement if the job yielded then.
  std::optional<time_point> yielding_since;
};

/// Lower values start first.
enum class urgency : std::uint8_t {
  /// The job can meet its due time, or has yielded for as long as it may.
  required,
  /// The job's due time has passed or can't be met any more.
  late,
  /// Enough other groups of the job are complete.
  not_needed,
};

/// Time of one sample when it was ranked.
struct sample_outlook {
  /// Time until the job is due, less `remaining`. Negative if the job will be late.
  milliseconds slack{0};
  /// Expected time until the sample is complete, including its scorer's call.
  milliseconds remaining{0};
};

/// Position of a sample in the order; lower values start first. Compared member by member.
struct sample_rank {
  std::uint32_t tenant_priority = 0;
  std::uint32_t priority = 0;
  urgency sample_urgency = urgency::required;
  /// Slack in units of `sample_order::k_slack_unit`.
  std::int64_t slack = 0;
  bool deferrable = false;
  std::uint64_t sequence = 0;
  bool has_not_run = false;
  std::int64_t negative_length_hint = 0;
  std::uint32_t index = 0;

  auto operator<=>(sample_rank const&) const = default;
};

/// Returns the rank by order of acceptance: by the tenant's and the route's priority, then
/// partially run and resubmitted samples, then the job's age, then the longest expected run.
sample_rank rank_by_acceptance(job_key const& job, sample_facts const& sample);

/// Order of one job's samples by the time that is left, in one iteration.
class job_order {
 public:
  sample_outlook outlook(sample_facts const& sample, time_point now) const;
  sample_rank rank(sample_facts const& sample, time_point now) const;
  /// Urgency of the job's samples that are needed.
  urgency job_urgency() const { return urgency_; }

 private:
  friend class sample_order;

  job_key key_;
  urgency urgency_ = urgency::required;
  /// True if the job has yielded for as long as it may, so its slack counts as zero.
  bool slack_is_used_up_ = false;
  time_point due_at_{};
  model_pace pace_;
  /// By group: whether the job still waits for it.
  std::vector<bool> needed_groups_;
};

/// Orders the samples of a pool by the time that is left until their jobs are due.
class sample_order {
 public:
  /// Slack is compared in units of about one event, since estimates are no more precise.
  static constexpr milliseconds k_slack_unit{50};
  /// Longest total time for which a job yields to others: its trainer waits for it all the same.
  static constexpr milliseconds k_max_yield{1000};
  /// Due time of jobs without one, so that they are not postponed without limit.
  static constexpr milliseconds k_default_due{30'000};
  /// Time allowed for a scorer's call: calls take 100 to 600 ms.
  static constexpr milliseconds k_scorer_time{300};

  /// @param estimates must outlive this object.
  explicit sample_order(run_estimate const& estimates) : estimates_(estimates) {}

  /// Judges a job with waiting samples. Called once in each iteration.
  /// @param yielded the job's own state, updated by this call.
  job_order judge(job_facts const& job, yield_state& yielded, time_point now) const;
  /// Stops counting a job's yielding while none of its samples waits.
  static void pause(yield_state& yielded) { yielded.yielding_since.reset(); }

 private:
  run_estimate const& estimates_;
};

}  // namespace frostline::scheduling
