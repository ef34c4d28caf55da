#include "rollout/sample_table.h"

#include <algorithm>

namespace frostline::rollout {

add_result sample_table::add_group(sample_group group, delivery::delivered_set const& delivered) {
  auto const known = groups_.find(group.group);
  if (known != groups_.end()) {
    return known->second == group ? add_result::known : add_result::conflict;
  }
  for (std::uint32_t index = 0; index < group.samples; ++index) {
    sample_key const key{group.group, index};
    entry& sample_entry = entries_[key];
    if (delivered.contains(key)) {
      sample_entry.state = sample_state::delivered;
    } else {
      enqueue(key, sample_entry, false);
    }
  }
  groups_[group.group] = std::move(group);
  return add_result::added;
}

void sample_table::enqueue(sample_key key, entry& sample_entry, bool first) {
  sample_entry.state = sample_state::queued;
  sample_entry.attempt.clear();
  ++counts_.queued;
  if (first) {
    ready_.push_front(key);
  } else {
    ready_.push_back(key);
  }
}

time_point sample_table::next_due() const {
  return delayed_.empty() ? time_point::max() : delayed_.begin()->first;
}

std::uint32_t sample_table::group_size(std::uint64_t group) const {
  auto const found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.samples;
}

bool sample_table::advance_ready_queue(time_point now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    ready_.push_front(delayed_.begin()->second);
    delayed_.erase(delayed_.begin());
  }
  while (!ready_.empty()) {
    auto const found = entries_.find(ready_.front());
    if (found != entries_.end() && found->second.state == sample_state::queued) return true;
    ready_.pop_front();
  }
  return false;
}

std::optional<std::uint64_t> sample_table::peek_group(time_point now) {
  if (!advance_ready_queue(now)) return std::nullopt;
  return ready_.front().group;
}

std::optional<work_item> sample_table::take_next(time_point now) {
  if (!advance_ready_queue(now)) return std::nullopt;
  sample_key const key = ready_.front();
  ready_.pop_front();
  entry& sample_entry = entries_.at(key);
  sample_entry.state = sample_state::running;
  sample_entry.attempt = attempt_prefix_ + "/" + std::to_string(key.group) + "." +
                         std::to_string(key.index) + "/" + std::to_string(next_attempt_++);
  --counts_.queued;
  ++counts_.running;
  work_item item{key, groups_.at(key.group), sample_entry.attempt, std::move(sample_entry.resume)};
  sample_entry.resume = {};
  return item;
}

sample_table::entry* sample_table::find_running(sample_key key, std::string const& attempt) {
  auto const found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  entry& sample_entry = found->second;
  bool const current =
      sample_entry.state == sample_state::running && sample_entry.attempt == attempt;
  return current ? &sample_entry : nullptr;
}

bool sample_table::finish(finished_sample sample) {
  auto const found = entries_.find(sample.key);
  if (found == entries_.end()) return false;
  entry& sample_entry = found->second;
  // A queued sample gets a result from recovery, or from the late reply of a run that was given up.
  bool const is_queued = sample_entry.state == sample_state::queued;
  bool const current =
      sample_entry.state == sample_state::running && sample_entry.attempt == sample.attempt;
  if (!is_queued && !current) return false;
  if (is_queued) {
    --counts_.queued;
  } else {
    --counts_.running;
  }
  ++counts_.finished;
  sample_entry.state = sample_state::finished;
  finish_order_.push_back(sample.key);
  sample_entry.result = std::move(sample);
  return true;
}

void sample_table::interrupt(sample_key key, std::string const& attempt, time_point not_before,
                             partial_run resume) {
  entry* sample_entry = find_running(key, attempt);
  if (sample_entry == nullptr) return;
  --counts_.running;
  ++counts_.queued;
  sample_entry->state = sample_state::queued;
  sample_entry->attempt.clear();
  sample_entry->resume = std::move(resume);
  delayed_.emplace(not_before, key);
}

void sample_table::restart(sample_key key, std::string const& attempt) {
  entry* sample_entry = find_running(key, attempt);
  if (sample_entry == nullptr) return;
  --counts_.running;
  ++counts_.reruns_for_freshness;
  sample_entry->resume = {};
  enqueue(key, *sample_entry, true);
}

std::size_t sample_table::drop_stale(std::uint64_t published, std::uint32_t bound) {
  std::vector<sample_key> stale;
  for (sample_key const& key : finish_order_) {
    entry const& sample_entry = entries_.at(key);
    bool const fresh = engines::is_within_bound(sample_entry.result.spans, published, bound);
    if (!fresh && !sample_entry.result.failed) stale.push_back(key);
  }
  for (sample_key const& key : stale) {
    entry& sample_entry = entries_.at(key);
    counts_.wasted_tokens += engines::token_count(sample_entry.result.spans);
    ++counts_.reruns_for_freshness;
    --counts_.finished;
    sample_entry.result = {};
    std::erase(finish_order_, key);
    enqueue(key, sample_entry, true);
  }
  return stale.size();
}

std::vector<finished_sample const*> sample_table::finished(std::size_t limit) const {
  std::vector<finished_sample const*> chosen;
  for (sample_key const& key : finish_order_) {
    if (chosen.size() == limit) break;
    chosen.push_back(&entries_.at(key).result);
  }
  return chosen;
}

finished_sample const* sample_table::find_finished(sample_key key) const {
  auto const found = entries_.find(key);
  bool const is_finished = found != entries_.end() && found->second.state == sample_state::finished;
  return is_finished ? &found->second.result : nullptr;
}

finished_sample const* sample_table::find_delivered(sample_key key) const {
  auto const found = entries_.find(key);
  if (found == entries_.end() || found->second.state != sample_state::delivered) return nullptr;
  return found->second.result.attempt.empty() ? nullptr : &found->second.result;
}

void sample_table::mark_delivered(std::vector<sample_key> const& keys) {
  for (sample_key const& key : keys) {
    auto const found = entries_.find(key);
    if (found == entries_.end()) continue;
    entry& sample_entry = found->second;
    if (sample_entry.state == sample_state::finished) --counts_.finished;
    if (sample_entry.state == sample_state::queued) --counts_.queued;
    if (sample_entry.state == sample_state::running) --counts_.running;
    sample_entry.state = sample_state::delivered;
    std::erase(finish_order_, key);
  }
}

void sample_table::restore_content(finished_sample sample) {
  auto const found = entries_.find(sample.key);
  if (found == entries_.end() || found->second.state != sample_state::delivered) return;
  found->second.result = std::move(sample);
}

void sample_table::withdraw(std::vector<sample_key> const& keys) {
  for (sample_key const& key : keys) {
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.state != sample_state::delivered) continue;
    found->second.result = {};
    ++counts_.reruns_for_freshness;
    enqueue(key, found->second, true);
  }
}

void sample_table::forget_content(std::vector<sample_key> const& keys) {
  for (sample_key const& key : keys) {
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.state != sample_state::delivered) continue;
    found->second.result = {};
  }
}

void sample_table::forget_below(std::uint64_t watermark) {
  groups_.erase(groups_.begin(), groups_.lower_bound(watermark));
  entries_.erase(entries_.begin(), entries_.lower_bound(sample_key{watermark, 0}));
}

}  // namespace frostline::rollout
