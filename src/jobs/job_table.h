/// @file State of the batch jobs of one pool and of their samples. Performs no I/O and reads no
/// clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "calls/event_stream.h"
#include "scheduling/memory_plan.h"
#include "scheduling/sample_order.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// waiting -> running -> scoring -> finished -> listed. Samples without a scorer skip `scoring`.
/// running -> waiting: the run ended without a complete text, for example for a move to another
/// engine.
/// waiting, running or scoring -> finished with outcome DEAD: permanent failure or time limit.
/// `listed` is final: the result is committed at a fixed position.
enum class sample_state { waiting, running, scoring, finished, listed };

/// Settings of a job, from the route and the tenant in the active configuration.
struct job_policy {
  std::uint32_t max_attempts = 1;
  /// Priority of the submitting tenant; takes precedence over `priority`. Lower values run first.
  std::uint32_t tenant_priority = 0;
  /// Priority of the route. Lower values run first.
  std::uint32_t priority = 0;
  /// Time after submission by which results are due.
  milliseconds due{0};
  /// Time since the acceptance or loading of the job after which unfinished items are marked dead;
  /// 0 for no limit.
  milliseconds max_queue{0};
  bool single_version = false;
};

/// How much of a sample's current text has been sent to a destination.
struct sent_progress {
  std::size_t bytes = 0;
  std::uint64_t events = 0;
  bool result = false;
};

struct sample_entry {
  rpc::JobItemT const* spec = nullptr;
  /// Number of the sample's group within its job.
  std::uint32_t group = 0;
  sample_state state = sample_state::waiting;
  /// Data of the events received so far, joined by line feeds.
  std::string text;
  std::uint64_t events = 0;
  std::optional<std::uint64_t> last_event;
  std::vector<std::uint64_t> versions;
  /// Service whose engines run the sample, chosen by the route's shares.
  std::string service;
  /// When the sample was last offered to engines that it would not get otherwise.
  time_point reconsidered_at = time_point::min();
  std::string engine;
  /// Incremented when a run starts or ends; events of older attempts are ignored.
  std::uint64_t attempt = 0;
  /// Runs started by this owner.
  std::uint32_t runs = 0;
  /// The item was left unfinished by a job that ended earlier, so it is scheduled first.
  bool resubmitted = false;
  std::uint32_t failures = 0;
  /// Runs by this owner that broke off.
  std::uint32_t broken_runs = 0;
  std::uint32_t scoring_failures = 0;
  time_point not_before = time_point::min();
  /// Since when the sample has been in the queue; time_point::min() before its first run.
  time_point waiting_since = time_point::min();
  /// When it was last logged that the sample waits; time_point::min() if it never was.
  time_point wait_logged_at = time_point::min();
  /// Start of the first run by this owner.
  std::optional<time_point> started_at;
  /// Time at which the text was complete.
  time_point text_completed_at{};
  /// Time at which the sample finished, including the scoring.
  time_point finished_at{};
  rpc::SampleResultT result;
  /// Incremented when the text is dropped or replaced, so that reports never mix two texts.
  std::uint64_t generation = 0;
  /// How much of this generation has been sent to the replicas and to the record store.
  sent_progress replicated;
  sent_progress stored;
  /// Time at which the first event of the text arrived.
  time_point first_event_at{};

  /// Discards the text and starts a new generation, of which nothing has been sent.
  void drop_text();
};

struct job_entry {
  rpc::JobRecordT record;
  std::size_t bytes = 0;
  job_policy policy;
  time_point accepted_at{};
  /// Position in the order of acceptance.
  std::uint64_t sequence = 0;
  bool ended = false;
  /// True once the record is known to be stored. Before that, samples may run but nothing is shown
  /// to callers or stored.
  bool recorded = true;
  std::vector<sample_entry> samples;
  /// Number of sample groups.
  std::uint32_t groups = 0;
  /// How long the job has yielded to jobs that can still meet their due times.
  scheduling::yield_state yielded;
  /// Indexes of the samples with committed results, in the order of their positions.
  std::vector<std::uint32_t> listed;
  /// Indexes of finished samples that are not committed, in the order of finishing.
  std::vector<std::uint32_t> unlisted;
  /// Number of results at the front of `unlisted` that are part of an in-flight commit.
  std::size_t committing = 0;

  bool is_open() const { return !ended && listed.size() < samples.size(); }
};

/// Time that a sample spent in each phase at this owner.
struct sample_times {
  std::uint32_t index = 0;
  /// From the acceptance of the job, or its loading by this owner, to the first run.
  milliseconds waited{0};
  /// From the first run to the complete text, including interruptions and moves.
  milliseconds ran{0};
  milliseconds scored{0};
};

/// Returns the phase times of the listed sample that finished last, among the samples that this
/// owner ran; nothing if there are none.
std::optional<sample_times> last_sample_times(job_entry const& job);

/// Returns the approximate memory that a job takes beside its texts and results, in bytes.
std::size_t size_in_memory(rpc::JobRecordT const& record);

/// Returns the sum of the submitter's token limits of all items.
std::uint64_t total_tokens(rpc::JobRecordT const& record);

/// Returns the expected KV cache usage of a run of this item, in tokens: the prompt plus a multiple
/// of the submitter's length hint, at most the submitter's limit.
std::uint64_t expected_tokens(rpc::JobItemT const& item);

/// Returns how the KV cache usage of a run of this item grows to `expected_tokens`. The result has
/// no events, neither expected nor received.
scheduling::run_memory expected_memory(rpc::JobItemT const& item);

/// Identifies one run of a sample.
struct run_key {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

/// A sample that is ready to start.
struct run_candidate {
  job_entry* job = nullptr;
  std::uint32_t index = 0;
  /// Set if samples are ordered by due time.
  std::optional<scheduling::sample_outlook> outlook;
};

/// Numbers the job's sample groups in the order of their first samples.
void number_groups(job_entry& job);

enum class event_result { accepted, duplicate, out_of_order, too_old, mixed_versions };

class job_table {
 public:
  /// @return false if the job exists already; it is left unchanged.
  bool add(rpc::JobRecordT record, time_point now);
  /// Adds a job whose record is still being written, so that its samples can run. @return as `add`.
  bool add_unrecorded(rpc::JobRecordT record, time_point now);
  /// Marks the job's record as stored.
  void mark_recorded(std::string const& id);
  /// Returns the jobs without a stored record that were added at `before` or earlier.
  std::vector<std::string> unrecorded_jobs(time_point before) const;
  /// Applies a stored batch of results. Ignores results that are listed already, and a batch that
  /// would leave a gap.
  void restore_results(rpc::ResultBatchT batch);
  /// Ends a job at the submitter's request. @return false if there is no such job.
  bool end(std::string const& id);
  void forget(std::string const& id);

  job_entry* find(std::string const& id);
  /// Returns the approximate memory of the jobs that have not ended, beside their texts and
  /// results, in bytes.
  std::size_t open_bytes() const;
  std::map<std::string, std::unique_ptr<job_entry>>& jobs() { return jobs_; }

  /// Returns the samples that may be started, in scheduling order.
  /// @param order the order by due time; null for `scheduling::rank_by_acceptance`.
  std::vector<run_candidate> runnable(time_point now,
                                      scheduling::sample_order const* order = nullptr);
  run_key start(job_entry& job, std::uint32_t index, std::string engine, time_point now);
  /// Returns the sample of this run; null if the run is no longer current.
  sample_entry* find_running(run_key const& key);

  /// Appends an event of a run, generated with weights of `version`.
  event_result append_event(job_entry const& job, sample_entry& sample,
                            calls::stream_event const& event, std::uint64_t version,
                            time_point now);
  /// Completes the sample's text. @return true if the sample must be scored.
  bool complete_text(job_entry& job, std::uint32_t index, time_point now);
  void set_score(job_entry& job, std::uint32_t index, std::string score, time_point now);
  /// Finishes a sample with outcome DEAD.
  void mark_dead(job_entry& job, std::uint32_t index, time_point now);
  /// Returns a sample to the queue; the next run continues from its last event.
  void requeue(sample_entry& sample, time_point not_before);
  /// As requeue, but discards the text, so that the next run starts over.
  void restart(sample_entry& sample, time_point not_before);
  /// Finishes with outcome DEAD the unfinished samples of each job that is older than `max_queue`
  /// of the job's policy.
  void expire(time_point now);

  /// Returns the changes of unlisted samples of open jobs since the last call. Stops once the texts
  /// exceed `limit` bytes.
  std::vector<rpc::SampleProgressT> take_progress(std::size_t limit);
  /// Makes the next take_progress return full texts.
  void reset_replicated();
  /// Changes of texts whose first event is at least `age` old, as one report per open job. Stops
  /// once the texts exceed `limit` bytes. Excludes finished samples, since their results are
  /// committed.
  std::vector<rpc::ProgressReportT> take_checkpoint(time_point now, milliseconds age,
                                                    std::size_t limit);
  /// Makes the next checkpoint hold full texts.
  void reset_checkpoints();
  /// Adopts a sample's progress from the previous owner if that has a result or more events than
  /// the local progress, and invalidates a local run of the sample. @return true if adopted.
  bool adopt(rpc::SampleProgressT const& progress, time_point now);

  /// Returns the next results to commit, if a commit is due. At most `limit` bytes, but at least
  /// one result.
  std::optional<rpc::ResultBatchT> next_batch(job_entry& job, time_point now, std::size_t limit);
  /// Lists the results of the batch after it was stored.
  void confirm_batch(job_entry& job);
  /// Releases a batch that is known not to be stored.
  void abandon_batch(job_entry& job) { job.committing = 0; }

 private:
  bool is_commit_due(job_entry const& job, time_point now) const;
  std::uint64_t count_complete_groups(job_entry const& job) const;
  void finish(job_entry& job, std::uint32_t index, time_point now);

  std::map<std::string, std::unique_ptr<job_entry>> jobs_;
  /// Items left unfinished by ended jobs, with the identifier of the job.
  std::map<std::string, std::string> unfinished_items_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace frostline::jobs
