/// @file Order of waiting samples by the time that is left: which trainer goes first, late jobs,
/// starvation, groups that are not needed, and wrong or missing estimates.

#include "scheduling/sample_order.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace frostline;
using namespace frostline::scheduling;

namespace {

/// Makes a job whose groups hold `per_group` samples each, all with the same length hint.
job_facts make_job(std::uint64_t sequence, time_point accepted_at, std::uint32_t groups,
                   std::uint32_t per_group, std::uint64_t hint) {
  job_facts job;
  job.key.sequence = sequence;
  job.model = "model";
  job.accepted_at = accepted_at;
  job.due = milliseconds(7500);
  job.groups = groups;
  job.desired = groups;
  for (std::uint32_t index = 0; index < groups * per_group; ++index) {
    sample_facts sample;
    sample.index = index;
    sample.group = index / per_group;
    sample.length = {hint, 200, 0};
    job.samples.push_back(sample);
  }
  return job;
}

}  // namespace

TEST_GROUP(sample_order_test) {
  run_estimate estimates;
  sample_order order{estimates};
  time_point now{std::chrono::hours(1)};

  /// Teaches that one unit of a hint is one event of 50 ms.
  void learn() {
    for (int run = 0; run < 10; ++run) {
      estimates.note_completed("model", 20, 20);
      estimates.note_event_time("model", 50.0);
    }
  }

  sample_rank first_rank(job_facts const& job, yield_state& yielded, time_point at) {
    return order.judge(job, yielded, at).rank(job.samples[0], at);
  }

  sample_rank first_rank(job_facts const& job, time_point at) {
    yield_state yielded;
    return first_rank(job, yielded, at);
  }
};

// Load: head-of-line blocking. Long samples of a new job wait behind short ones of an older job.
TEST(sample_order_test, long_samples_start_before_short_ones_of_an_older_job) {
  learn();
  job_facts const older = make_job(1, now - milliseconds(1000), 4, 2, 6);
  job_facts const newer = make_job(2, now, 4, 2, 140);
  CHECK(first_rank(newer, now) < first_rank(older, now));
  CHECK(rank_by_acceptance(older.key, older.samples[0]) <
        rank_by_acceptance(newer.key, newer.samples[0]));
}

// Load: a step that can't be met any more takes the slots of steps that can.
TEST(sample_order_test, job_that_cannot_meet_its_due_time_comes_after_jobs_that_can) {
  learn();
  job_facts const hopeless = make_job(1, now - milliseconds(3000), 4, 2, 140);
  job_facts const possible = make_job(2, now, 4, 2, 6);
  CHECK(first_rank(possible, now) < first_rank(hopeless, now));
  job_facts const past = make_job(1, now - milliseconds(8000), 4, 2, 6);
  CHECK(first_rank(possible, now) < first_rank(past, now));
}

// Load: a few very long samples in a step that needs only some of its groups.
TEST(sample_order_test, job_can_be_met_without_the_groups_that_are_too_long) {
  learn();
  job_facts job = make_job(1, now, 10, 2, 6);
  job.samples[0].length.length_hint = 160;
  job.desired = 9;
  yield_state yielded;
  CHECK(order.judge(job, yielded, now).job_urgency() == urgency::required);
  job.desired = 10;
  CHECK(order.judge(job, yielded, now).job_urgency() == urgency::late);
  job.desired = 9;
  job.samples[0].resubmitted = true;
  CHECK(order.judge(job, yielded, now).job_urgency() == urgency::late);
}

// Load: starvation of a late job by a stream of new jobs that can still be met.
TEST(sample_order_test, late_job_yields_for_a_bounded_time) {
  learn();
  job_facts const late = make_job(1, now - milliseconds(8000), 4, 2, 6);
  yield_state yielded;
  milliseconds waited{0};
  while (first_rank(make_job(2, now + waited, 4, 2, 6), now + waited) <
         first_rank(late, yielded, now + waited)) {
    waited += milliseconds(20);
    CHECK(waited <= sample_order::k_max_yield);
  }
  CHECK(waited == sample_order::k_max_yield);
}

// Load: a job that becomes late again and again, and each time would yield anew.
TEST(sample_order_test, time_of_yielding_adds_up_without_the_time_in_between) {
  learn();
  job_facts const late = make_job(1, now - milliseconds(8000), 4, 2, 6);
  yield_state yielded;
  first_rank(late, yielded, now);
  first_rank(late, yielded, now + milliseconds(600));
  sample_order::pause(yielded);
  CHECK(first_rank(late, yielded, now + seconds(60)).sample_urgency == urgency::late);
  sample_rank const rank = first_rank(late, yielded, now + seconds(60) + milliseconds(400));
  CHECK(rank.sample_urgency == urgency::required);
  LONGS_EQUAL(0, rank.slack);
}

// Load: samples of surplus groups compete with groups that other steps wait for.
TEST(sample_order_test, samples_of_groups_that_are_not_needed_come_last) {
  learn();
  job_facts satisfied = make_job(1, now - milliseconds(3000), 4, 1, 100);
  satisfied.desired = 3;
  for (std::uint32_t index = 1; index < 4; ++index) {
    satisfied.samples[index].phase = sample_phase::finished;
  }
  job_facts const late = make_job(2, now - milliseconds(8000), 4, 2, 6);
  CHECK(first_rank(late, now) < first_rank(satisfied, now));
  satisfied.samples[0].resubmitted = true;
  CHECK(first_rank(satisfied, now).sample_urgency != urgency::not_needed);
  satisfied.samples[0].resubmitted = false;
  satisfied.desired = 0;
  CHECK(first_rank(satisfied, now).sample_urgency != urgency::not_needed);
}

// Load: more groups are desired than the job has, so that none may count as surplus.
TEST(sample_order_test, all_groups_are_needed_if_more_are_desired_than_exist) {
  job_facts job = make_job(1, now, 2, 1, 6);
  job.desired = 9;
  job.samples[1].phase = sample_phase::finished;
  CHECK(first_rank(job, now).sample_urgency == urgency::required);
}

// Load: hints that promise a short run, which then goes on and on.
TEST(sample_order_test, run_beyond_its_hint_goes_before_runs_of_its_hinted_length) {
  learn();
  job_facts job = make_job(1, now, 2, 1, 6);
  job.samples[1].length.events = 60;
  yield_state yielded;
  job_order const judged = order.judge(job, yielded, now);
  CHECK(judged.rank(job.samples[1], now) < judged.rank(job.samples[0], now));
  LONGS_EQUAL(60 * 50, judged.outlook(job.samples[1], now).remaining.count());
}

// Load: hints far above the limit, which must not make each step look hopeless.
TEST(sample_order_test, hint_above_the_limit_counts_as_the_limit) {
  learn();
  job_facts job = make_job(1, now, 2, 1, 1'000'000);
  for (sample_facts& sample : job.samples) sample.length.max_events = 141;
  yield_state yielded;
  job_order const judged = order.judge(job, yielded, now);
  CHECK(judged.job_urgency() == urgency::required);
  LONGS_EQUAL(7500 - 141 * 50, judged.outlook(job.samples[0], now).slack.count());
}

// Load: a new owner without estimates, whose hints are in other units than events.
TEST(sample_order_test, without_estimates_no_job_is_late_before_its_due_time) {
  job_facts const long_hints = make_job(1, now, 4, 2, 5000);
  job_facts const short_hints = make_job(2, now, 4, 2, 6);
  CHECK(first_rank(long_hints, now).sample_urgency == urgency::required);
  CHECK(first_rank(long_hints, now) < first_rank(short_hints, now));
}

// Load: the clock goes on while nothing runs, for example on a suspended machine. All jobs are
// late then and must start in the order of acceptance.
TEST(sample_order_test, jobs_that_all_became_late_start_in_the_order_of_acceptance) {
  learn();
  job_facts const first = make_job(1, now, 4, 2, 6);
  job_facts const second = make_job(2, now + milliseconds(100), 4, 2, 140);
  yield_state yielded_first;
  yield_state yielded_second;
  first_rank(first, yielded_first, now);
  first_rank(second, yielded_second, now + milliseconds(100));
  for (auto const later : {seconds(600), seconds(605)}) {
    CHECK(first_rank(first, yielded_first, now + later) <
          first_rank(second, yielded_second, now + later));
  }
  CHECK(first_rank(first, yielded_first, now + seconds(606)).sample_urgency == urgency::required);
}

// Load: jobs without a due time beside jobs with one.
TEST(sample_order_test, job_without_due_time_goes_last_until_its_default_due_time) {
  learn();
  job_facts without = make_job(1, now, 4, 2, 6);
  without.due = milliseconds(0);
  job_facts const with = make_job(2, now, 4, 2, 6);
  CHECK(first_rank(with, now) < first_rank(without, now));
  time_point const later = now + sample_order::k_default_due - seconds(1);
  CHECK(first_rank(without, later) < first_rank(make_job(3, later, 4, 2, 6), later));
}

// Load: tenants and routes of different priority, whose order the operator has decided.
TEST(sample_order_test, priorities_take_precedence_over_slack) {
  learn();
  job_facts const urgent = make_job(1, now, 4, 2, 140);
  job_facts preferred = make_job(2, now, 4, 2, 6);
  preferred.key.priority = 0;
  job_facts ordinary = urgent;
  ordinary.key.priority = 1;
  CHECK(first_rank(preferred, now) < first_rank(ordinary, now));
  preferred.key.tenant_priority = 1;
  CHECK(first_rank(ordinary, now) < first_rank(preferred, now));
}

// Load: the last samples of a step, whose scorers' calls take part of the time.
TEST(sample_order_test, remaining_time_includes_the_call_of_the_scorer) {
  learn();
  job_facts job = make_job(1, now, 1, 2, 20);
  job.samples[1].has_scorer = true;
  yield_state yielded;
  job_order const judged = order.judge(job, yielded, now);
  LONGS_EQUAL(1000, judged.outlook(job.samples[0], now).remaining.count());
  LONGS_EQUAL(1300, judged.outlook(job.samples[1], now).remaining.count());
}

TEST(sample_order_test, equal_slack_is_ordered_as_by_acceptance) {
  learn();
  job_facts job = make_job(1, now, 2, 1, 20);
  job_facts const same = make_job(2, now, 2, 1, 20);
  CHECK(first_rank(job, now) < first_rank(same, now));
  yield_state yielded;
  job.samples[1].resubmitted = true;
  job_order const judged = order.judge(job, yielded, now);
  CHECK(judged.rank(job.samples[1], now) < judged.rank(job.samples[0], now));
}
