#include "scheduling/sample_order.h"

#include <algorithm>
#include <string>

namespace frostline::scheduling {
namespace {

struct group_state {
  bool is_open = false;
  bool is_resubmitted = false;
  /// Earliest time from now at which all samples of the group can be finished.
  milliseconds least_left{0};
};

/// What a job still has to do before its submitter can go on.
struct job_needs {
  /// Enough groups are complete; only resubmitted samples are waited for.
  bool has_enough_groups = false;
  /// The groups that are waited for can be complete within the given time.
  bool can_be_met = false;
};

milliseconds scorer_time(sample_facts const& sample) {
  return sample.has_scorer ? sample_order::k_scorer_time : milliseconds(0);
}

std::vector<group_state> group_states(job_facts const& job, model_pace const& pace) {
  std::vector<group_state> groups(job.groups);
  for (sample_facts const& sample : job.samples) {
    if (sample.phase == sample_phase::finished) continue;
    group_state& group = groups[sample.group];
    group.is_open = true;
    group.is_resubmitted = group.is_resubmitted || sample.resubmitted;
    milliseconds const run = sample.phase == sample_phase::scoring
                                 ? milliseconds(0)
                                 : least_time_left(pace, sample.length);
    group.least_left = std::max(group.least_left, run + scorer_time(sample));
  }
  return groups;
}

job_needs needs_of(job_facts const& job, std::vector<group_state> const& groups,
                   time_point::duration time_left) {
  std::uint64_t complete = 0;
  std::uint64_t possible = 0;
  bool resubmitted_can_be_met = true;
  for (group_state const& group : groups) {
    bool const in_time = group.least_left <= time_left;
    if (!group.is_open) ++complete;
    if (!group.is_open || in_time) ++possible;
    if (group.is_resubmitted && !in_time) resubmitted_can_be_met = false;
  }
  std::uint64_t const total = groups.size();
  std::uint64_t const wanted = job.desired == 0 ? total : std::min(job.desired, total);
  return {complete >= wanted, possible >= wanted && resubmitted_can_be_met};
}

/// Counts the time for which a late job has yielded. @return true if it may yield no longer.
bool update_yield(yield_state& yielded, bool late, time_point now) {
  if (!late) {
    yielded.yielding_since.reset();
    return false;
  }
  if (yielded.yielding_since) yielded.total += now - *yielded.yielding_since;
  yielded.yielding_since = now;
  return yielded.total >= sample_order::k_max_yield;
}

std::int64_t in_slack_units(milliseconds slack) {
  auto const unit = sample_order::k_slack_unit.count();
  auto const units = slack.count() / unit;
  return slack.count() % unit < 0 ? units - 1 : units;
}

}  // namespace

sample_rank rank_by_acceptance(job_key const& job, sample_facts const& sample) {
  sample_rank rank;
  rank.tenant_priority = job.tenant_priority;
  rank.priority = job.priority;
  // Partially run samples are closest to completion. Resubmitted samples are usually long, so a
  // late start would delay the end of the job.
  rank.has_not_run = sample.length.events == 0;
  rank.deferrable = rank.has_not_run && !sample.resubmitted;
  rank.sequence = job.sequence;
  rank.negative_length_hint = -static_cast<std::int64_t>(sample.length.length_hint);
  rank.index = sample.index;
  return rank;
}

job_order sample_order::judge(job_facts const& job, yield_state& yielded, time_point now) const {
  job_order order;
  order.key_ = job.key;
  order.pace_ = estimates_.pace_of(std::string(job.model));
  order.due_at_ = job.accepted_at + (job.due > milliseconds(0) ? job.due : k_default_due);
  auto const groups = group_states(job, order.pace_);
  job_needs const needs = needs_of(job, groups, order.due_at_ - now);
  for (group_state const& group : groups) {
    order.needed_groups_.push_back(!needs.has_enough_groups || group.is_resubmitted);
  }
  // Hints alone are not precise enough to postpone a job whose due time has not passed.
  bool const is_unreachable = order.pace_.is_reliable() && !needs.can_be_met;
  bool const late = order.due_at_ <= now || is_unreachable;
  order.slack_is_used_up_ = update_yield(yielded, late, now);
  if (late && !order.slack_is_used_up_) order.urgency_ = urgency::late;
  return order;
}

sample_outlook job_order::outlook(sample_facts const& sample, time_point now) const {
  sample_outlook outlook;
  outlook.remaining = expected_time_left(pace_, sample.length) + scorer_time(sample);
  outlook.slack = std::chrono::floor<milliseconds>(due_at_ - now) - outlook.remaining;
  return outlook;
}

sample_rank job_order::rank(sample_facts const& sample, time_point now) const {
  sample_rank rank = rank_by_acceptance(key_, sample);
  rank.sample_urgency = needed_groups_[sample.group] ? urgency_ : urgency::not_needed;
  bool const by_slack = rank.sample_urgency != urgency::late && !slack_is_used_up_;
  if (by_slack) rank.slack = in_slack_units(outlook(sample, now).slack);
  return rank;
}

}  // namespace frostline::scheduling
