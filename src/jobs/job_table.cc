#include "jobs/job_table.h"

#include <algorithm>

namespace frostline::jobs {
namespace {

/// Results that don't complete the job or its desired groups are committed in batches, at most this
/// late.
constexpr milliseconds k_commit_interval{900};

rpc::SampleResultT copy_result(rpc::SampleResultT const& from) { return from; }

/// The sample's text, which moves to the result once it is complete.
std::string const& text_of(sample_entry const& sample) {
  bool const moved =
      sample.state == sample_state::scoring || sample.state == sample_state::finished;
  return moved ? sample.result.text : sample.text;
}

bool has_unsent_progress(sample_entry const& sample, sent_progress const& sent) {
  if (sample.state == sample_state::listed) return false;
  if (sample.state == sample_state::finished && !sent.result) return true;
  return sample.events != sent.events;
}

rpc::SampleProgressT make_progress_report(std::string const& job, std::uint32_t index,
                                          sample_entry const& sample, sent_progress& sent) {
  std::string const& text = text_of(sample);
  rpc::SampleProgressT report;
  report.job = job;
  report.index = index;
  report.generation = sample.generation;
  report.from_bytes = sent.bytes;
  report.text = text.substr(report.from_bytes);
  report.events = sample.events;
  report.has_last_event = sample.last_event.has_value();
  report.last_event = sample.last_event.value_or(0);
  report.versions = sample.versions;
  sent.bytes = text.size();
  sent.events = sample.events;
  if (sample.state != sample_state::finished) return report;
  // The text is sent in the report's own field.
  report.result = std::make_unique<rpc::SampleResultT>(sample.result);
  report.result->text.clear();
  sent.result = true;
  return report;
}

/// Returns true if rerunning the sample would be expensive.
bool needs_checkpoint(sample_entry const& sample, time_point now, milliseconds age) {
  bool const open = sample.state == sample_state::waiting ||
                    sample.state == sample_state::running || sample.state == sample_state::scoring;
  return open && sample.events > 0 && now - sample.first_event_at >= age;
}

}  // namespace

std::optional<sample_times> last_sample_times(job_entry const& job) {
  std::optional<std::uint32_t> last;
  for (std::uint32_t index : job.listed) {
    sample_entry const& sample = job.samples[index];
    if (!sample.started_at || sample.text_completed_at < *sample.started_at) continue;
    if (!last || sample.finished_at > job.samples[*last].finished_at) last = index;
  }
  if (!last) return std::nullopt;
  sample_entry const& sample = job.samples[*last];
  auto const between = [](time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from);
  };
  sample_times times;
  times.index = *last;
  times.waited = between(job.accepted_at, *sample.started_at);
  times.ran = between(*sample.started_at, sample.text_completed_at);
  times.scored = between(sample.text_completed_at, sample.finished_at);
  return times;
}

std::uint64_t expected_tokens(rpc::JobItemT const& item) {
  if (item.length_hint == 0 || item.generated_limit == 0) return item.tokens;
  std::uint64_t const limit = std::min(item.generated_limit, item.tokens);
  return item.tokens - limit + std::min(limit, item.length_hint * scheduling::k_length_hint_factor);
}

scheduling::run_memory expected_memory(rpc::JobItemT const& item) {
  scheduling::run_memory memory;
  memory.prompt_tokens = item.tokens;
  if (item.length_hint == 0 || item.generated_limit == 0) return memory;
  memory.output_limit = std::min(item.generated_limit, item.tokens);
  memory.prompt_tokens -= memory.output_limit;
  memory.hinted_tokens = item.length_hint;
  return memory;
}

void sample_entry::drop_text() {
  text.clear();
  ++generation;
  replicated = {};
  stored = {};
}

std::size_t size_in_memory(rpc::JobRecordT const& record) {
  std::size_t bytes = sizeof(record);
  for (auto const& item : record.items) {
    bytes += sizeof(*item) + sizeof(sample_entry) + item->id.capacity() + item->path.capacity() +
             item->group.capacity() + item->body.capacity();
    for (auto const& field : item->headers) {
      bytes += sizeof(*field) + field->name.capacity() + field->value.capacity();
    }
    if (!item->scorer) continue;
    bytes += sizeof(*item->scorer) + item->scorer->path.capacity() + item->scorer->body.capacity();
  }
  return bytes;
}

std::uint64_t total_tokens(rpc::JobRecordT const& record) {
  std::uint64_t tokens = 0;
  for (auto const& item : record.items) tokens += item->tokens;
  return tokens;
}

bool job_table::add(rpc::JobRecordT record, time_point now) {
  auto& job = jobs_[record.id];
  if (job) return false;
  job = std::make_unique<job_entry>();
  job->record = std::move(record);
  job->bytes = size_in_memory(job->record);
  job->accepted_at = now;
  job->sequence = next_sequence_++;
  job->samples.resize(job->record.items.size());
  for (std::size_t index = 0; index < job->samples.size(); ++index) {
    sample_entry& sample = job->samples[index];
    sample.spec = job->record.items[index].get();
    sample.resubmitted = unfinished_items_.erase(sample.spec->id) > 0;
  }
  number_groups(*job);
  return true;
}

bool job_table::add_unrecorded(rpc::JobRecordT record, time_point now) {
  std::string const id = record.id;
  if (!add(std::move(record), now)) return false;
  jobs_[id]->recorded = false;
  return true;
}

void job_table::mark_recorded(std::string const& id) {
  job_entry* const job = find(id);
  if (job != nullptr) job->recorded = true;
}

std::vector<std::string> job_table::unrecorded_jobs(time_point before) const {
  std::vector<std::string> ids;
  for (auto const& [id, job] : jobs_) {
    if (!job->recorded && job->accepted_at <= before) ids.push_back(id);
  }
  return ids;
}

void job_table::forget(std::string const& id) {
  std::erase_if(unfinished_items_, [&](auto const& entry) { return entry.second == id; });
  jobs_.erase(id);
}

job_entry* job_table::find(std::string const& id) {
  auto const found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

std::size_t job_table::open_bytes() const {
  std::size_t bytes = 0;
  for (auto const& [id, job] : jobs_) bytes += job->ended ? 0 : job->bytes;
  return bytes;
}

void job_table::restore_results(rpc::ResultBatchT batch) {
  job_entry* const job = find(batch.job);
  if (job == nullptr || batch.first > job->listed.size()) return;
  std::size_t const known = job->listed.size() - batch.first;
  for (std::size_t place = known; place < batch.results.size(); ++place) {
    rpc::SampleResultT& result = *batch.results[place];
    for (std::uint32_t index = 0; index < job->samples.size(); ++index) {
      sample_entry& sample = job->samples[index];
      if (sample.spec->id != result.id || sample.state == sample_state::listed) continue;
      sample.state = sample_state::listed;
      ++sample.attempt;
      sample.text.clear();
      sample.result = std::move(result);
      job->listed.push_back(index);
      std::erase(job->unlisted, index);
      break;
    }
  }
}

bool job_table::end(std::string const& id) {
  job_entry* const job = find(id);
  if (job == nullptr) return false;
  if (job->ended) return true;
  job->ended = true;
  for (sample_entry& sample : job->samples) {
    ++sample.attempt;
    if (sample.state == sample_state::listed) continue;
    sample.text.clear();
    unfinished_items_[sample.spec->id] = id;
  }
  // An in-flight commit may have stored its results already.
  job->unlisted.resize(std::min(job->committing, job->unlisted.size()));
  return true;
}

run_key job_table::start(job_entry& job, std::uint32_t index, std::string engine, time_point now) {
  sample_entry& sample = job.samples[index];
  if (!sample.started_at) sample.started_at = now;
  ++sample.runs;
  sample.state = sample_state::running;
  sample.engine = std::move(engine);
  return {job.record.id, index, ++sample.attempt};
}

sample_entry* job_table::find_running(run_key const& key) {
  job_entry* const job = find(key.job);
  if (job == nullptr || job->ended) return nullptr;
  // A job that has been forgotten may have been submitted again with fewer items.
  if (key.index >= job->samples.size()) return nullptr;
  sample_entry& sample = job->samples[key.index];
  if (sample.attempt != key.attempt || sample.state != sample_state::running) return nullptr;
  return &sample;
}

event_result job_table::append_event(job_entry const& job, sample_entry& sample,
                                     calls::stream_event const& event, std::uint64_t version,
                                     time_point now) {
  if (event.id && sample.last_event) {
    if (*event.id <= *sample.last_event) return event_result::duplicate;
    if (*event.id != *sample.last_event + 1) return event_result::out_of_order;
  }
  if (version < job.record.min_version) return event_result::too_old;
  bool const known_version =
      std::find(sample.versions.begin(), sample.versions.end(), version) != sample.versions.end();
  if (!known_version && job.policy.single_version && !sample.versions.empty()) {
    return event_result::mixed_versions;
  }
  if (!known_version) sample.versions.push_back(version);
  if (sample.events == 0) sample.first_event_at = now;
  if (sample.events > 0) sample.text += '\n';
  sample.text += event.data;
  ++sample.events;
  if (event.id) sample.last_event = event.id;
  return event_result::accepted;
}

void job_table::finish(job_entry& job, std::uint32_t index, time_point now) {
  sample_entry& sample = job.samples[index];
  sample.state = sample_state::finished;
  sample.finished_at = now;
  ++sample.attempt;
  sample.result.id = sample.spec->id;
  job.unlisted.push_back(index);
}

bool job_table::complete_text(job_entry& job, std::uint32_t index, time_point now) {
  sample_entry& sample = job.samples[index];
  sample.text_completed_at = now;
  sample.result.outcome = rpc::SampleOutcome::COMPLETED;
  sample.result.text = std::move(sample.text);
  sample.result.versions = sample.versions;
  sample.text.clear();
  if (sample.spec->scorer) {
    sample.state = sample_state::scoring;
    ++sample.attempt;
    return true;
  }
  finish(job, index, now);
  return false;
}

void job_table::set_score(job_entry& job, std::uint32_t index, std::string score, time_point now) {
  job.samples[index].result.score = std::move(score);
  finish(job, index, now);
}

void job_table::mark_dead(job_entry& job, std::uint32_t index, time_point now) {
  sample_entry& sample = job.samples[index];
  sample.result = rpc::SampleResultT();
  sample.result.outcome = rpc::SampleOutcome::DEAD;
  sample.drop_text();
  finish(job, index, now);
}

void job_table::requeue(sample_entry& sample, time_point not_before) {
  sample.state = sample_state::waiting;
  sample.not_before = not_before;
  sample.waiting_since = not_before;
  sample.engine.clear();
  ++sample.attempt;
}

void job_table::restart(sample_entry& sample, time_point not_before) {
  requeue(sample, not_before);
  sample.drop_text();
  sample.events = 0;
  sample.last_event.reset();
  sample.versions.clear();
}

void job_table::expire(time_point now) {
  for (auto const& [id, job] : jobs_) {
    milliseconds const longest = job->policy.max_queue;
    if (!job->is_open() || longest == milliseconds(0)) continue;
    if (now - job->accepted_at <= longest) continue;
    for (std::uint32_t index = 0; index < job->samples.size(); ++index) {
      sample_state const state = job->samples[index].state;
      if (state != sample_state::finished && state != sample_state::listed) {
        mark_dead(*job, index, now);
      }
    }
  }
}

std::uint64_t job_table::count_complete_groups(job_entry const& job) const {
  std::map<std::string, bool> complete;
  for (sample_entry const& sample : job.samples) {
    bool const done =
        sample.state == sample_state::finished || sample.state == sample_state::listed;
    auto const [place, inserted] = complete.emplace(sample.spec->group, done);
    if (!inserted) place->second = place->second && done;
  }
  return static_cast<std::uint64_t>(std::count_if(complete.begin(), complete.end(),
                                                  [](auto const& group) { return group.second; }));
}

std::vector<rpc::SampleProgressT> job_table::take_progress(std::size_t limit) {
  std::vector<rpc::SampleProgressT> reports;
  std::size_t bytes = 0;
  for (auto const& [id, job] : jobs_) {
    if (!job->is_open()) continue;
    for (std::uint32_t index = 0; index < job->samples.size(); ++index) {
      sample_entry& sample = job->samples[index];
      if (!has_unsent_progress(sample, sample.replicated)) continue;
      if (bytes > limit) return reports;
      reports.push_back(make_progress_report(id, index, sample, sample.replicated));
      bytes += reports.back().text.size();
    }
  }
  return reports;
}

void job_table::reset_replicated() {
  for (auto const& [id, job] : jobs_) {
    for (sample_entry& sample : job->samples) sample.replicated = {};
  }
}

std::vector<rpc::ProgressReportT> job_table::take_checkpoint(time_point now, milliseconds age,
                                                             std::size_t limit) {
  std::vector<rpc::ProgressReportT> reports;
  std::size_t bytes = 0;
  for (auto const& [id, job] : jobs_) {
    if (!job->is_open() || !job->recorded) continue;
    rpc::ProgressReportT report;
    report.jobs.push_back(id);
    for (std::uint32_t index = 0; index < job->samples.size() && bytes <= limit; ++index) {
      sample_entry& sample = job->samples[index];
      if (!needs_checkpoint(sample, now, age) || !has_unsent_progress(sample, sample.stored))
        continue;
      auto entry = make_progress_report(id, index, sample, sample.stored);
      bytes += entry.text.size();
      report.entries.push_back(std::make_unique<rpc::SampleProgressT>(std::move(entry)));
    }
    if (!report.entries.empty()) reports.push_back(std::move(report));
  }
  return reports;
}

void job_table::reset_checkpoints() {
  for (auto const& [id, job] : jobs_) {
    for (sample_entry& sample : job->samples) sample.stored = {};
  }
}

bool job_table::adopt(rpc::SampleProgressT const& progress, time_point now) {
  job_entry* const job = find(progress.job);
  if (job == nullptr || job->ended || progress.index >= job->samples.size()) return false;
  sample_entry& sample = job->samples[progress.index];
  bool const open = sample.state == sample_state::waiting || sample.state == sample_state::running;
  if (!open || (progress.events <= sample.events && !progress.result)) return false;
  if (sample.state == sample_state::running) requeue(sample, now);
  sample.drop_text();
  sample.events = progress.events;
  sample.last_event.reset();
  if (progress.has_last_event) sample.last_event = progress.last_event;
  sample.versions = progress.versions;
  sample.text = progress.text;
  if (!progress.result) return true;
  sample.result = *progress.result;
  sample.result.text = std::move(sample.text);
  sample.text.clear();
  finish(*job, progress.index, now);
  return true;
}

bool job_table::is_commit_due(job_entry const& job, time_point now) const {
  if (job.unlisted.empty() || job.committing > 0 || job.ended) return false;
  if (job.listed.size() + job.unlisted.size() == job.samples.size()) return true;
  if (now - job.samples[job.unlisted.front()].finished_at >= k_commit_interval) return true;
  bool const newly_enough = count_complete_groups(job) >= job.record.desired;
  return newly_enough && job.record.desired > 0;
}

std::optional<rpc::ResultBatchT> job_table::next_batch(job_entry& job, time_point now,
                                                       std::size_t limit) {
  if (!job.recorded || !is_commit_due(job, now)) return std::nullopt;
  rpc::ResultBatchT batch;
  batch.job = job.record.id;
  batch.first = job.listed.size();
  std::size_t bytes = 0;
  for (std::uint32_t index : job.unlisted) {
    rpc::SampleResultT const& result = job.samples[index].result;
    bytes += result.text.size() + result.id.size() + result.score.size() + 64;
    if (bytes > limit && !batch.results.empty()) break;
    batch.results.push_back(std::make_unique<rpc::SampleResultT>(copy_result(result)));
  }
  job.committing = batch.results.size();
  return batch;
}

void job_table::confirm_batch(job_entry& job) {
  std::size_t const count = std::min(job.committing, job.unlisted.size());
  for (std::size_t place = 0; place < count; ++place) {
    std::uint32_t const index = job.unlisted[place];
    job.samples[index].state = sample_state::listed;
    job.listed.push_back(index);
  }
  job.unlisted.erase(job.unlisted.begin(),
                     job.unlisted.begin() + static_cast<std::ptrdiff_t>(count));
  job.committing = 0;
}

}  // namespace frostline::jobs
