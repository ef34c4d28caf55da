/// @file The order in which the waiting samples of a job table start.
#include <algorithm>
#include <map>
#include <utility>

#include "jobs/job_table.h"

namespace frostline::jobs {
namespace {

struct ranked_candidate {
  scheduling::sample_rank rank;
  run_candidate candidate;
};

scheduling::sample_phase phase_of(sample_state state) {
  switch (state) {
    case sample_state::waiting:
      return scheduling::sample_phase::waiting;
    case sample_state::running:
      return scheduling::sample_phase::running;
    case sample_state::scoring:
      return scheduling::sample_phase::scoring;
    case sample_state::finished:
    case sample_state::listed:
      break;
  }
  return scheduling::sample_phase::finished;
}

scheduling::sample_facts facts_of(sample_entry const& sample, std::uint32_t index) {
  scheduling::sample_facts facts;
  facts.phase = phase_of(sample.state);
  facts.index = index;
  facts.group = sample.group;
  facts.resubmitted = sample.resubmitted;
  facts.has_scorer = sample.spec->scorer != nullptr;
  facts.length.length_hint = sample.spec->length_hint;
  // Each event holds at least one token.
  facts.length.max_events = sample.spec->generated_limit;
  facts.length.events = sample.events;
  return facts;
}

scheduling::job_facts facts_of(job_entry const& job) {
  scheduling::job_facts facts;
  facts.key = {job.policy.tenant_priority, job.policy.priority, job.sequence};
  facts.model = job.record.model;
  facts.accepted_at = job.accepted_at;
  facts.due = job.policy.due;
  facts.desired = job.record.desired;
  facts.groups = job.groups;
  return facts;
}

bool is_runnable(sample_entry const& sample, time_point now) {
  return sample.state == sample_state::waiting && sample.not_before <= now;
}

void add_by_acceptance(job_entry& job, time_point now, std::vector<ranked_candidate>& all) {
  scheduling::job_key const key = facts_of(job).key;
  for (std::uint32_t index = 0; index < job.samples.size(); ++index) {
    sample_entry const& sample = job.samples[index];
    if (!is_runnable(sample, now)) continue;
    all.push_back({scheduling::rank_by_acceptance(key, facts_of(sample, index)),
                   {&job, index, std::nullopt}});
  }
}

void add_by_due_time(job_entry& job, scheduling::sample_order const& order, time_point now,
                     std::vector<ranked_candidate>& all) {
  bool const has_runnable =
      std::any_of(job.samples.begin(), job.samples.end(),
                  [&](sample_entry const& sample) { return is_runnable(sample, now); });
  if (!has_runnable) {
    scheduling::sample_order::pause(job.yielded);
    return;
  }
  scheduling::job_facts facts = facts_of(job);
  facts.samples.reserve(job.samples.size());
  for (std::uint32_t index = 0; index < job.samples.size(); ++index) {
    facts.samples.push_back(facts_of(job.samples[index], index));
  }
  scheduling::job_order const job_order = order.judge(facts, job.yielded, now);
  for (scheduling::sample_facts const& sample : facts.samples) {
    if (!is_runnable(job.samples[sample.index], now)) continue;
    all.push_back(
        {job_order.rank(sample, now), {&job, sample.index, job_order.outlook(sample, now)}});
  }
}

}  // namespace

void number_groups(job_entry& job) {
  std::map<std::string_view, std::uint32_t> numbers;
  for (sample_entry& sample : job.samples) {
    auto const next = static_cast<std::uint32_t>(numbers.size());
    sample.group = numbers.emplace(sample.spec->group, next).first->second;
  }
  job.groups = static_cast<std::uint32_t>(numbers.size());
}

std::vector<run_candidate> job_table::runnable(time_point now,
                                               scheduling::sample_order const* order) {
  std::vector<ranked_candidate> all;
  for (auto const& [id, job] : jobs_) {
    if (!job->is_open()) continue;
    if (order == nullptr) {
      add_by_acceptance(*job, now, all);
    } else {
      add_by_due_time(*job, *order, now, all);
    }
  }
  std::sort(all.begin(), all.end(),
            [](ranked_candidate const& left, ranked_candidate const& right) {
              return left.rank < right.rank;
            });
  std::vector<run_candidate> candidates;
  candidates.reserve(all.size());
  for (ranked_candidate const& ranked : all) candidates.push_back(ranked.candidate);
  return candidates;
}

}  // namespace frostline::jobs
