/// @file Writes a pool's jobs, results and end marks to the record store. Runs one transaction at a
/// time and retries it until its outcome is known, so that each acknowledged entry is stored
/// exactly once.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "jobs/write_timeout_estimator.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// Outcome of writing an entry.
enum class write_outcome {
  stored,
  /// This node is no longer the owner; the entry may or may not be stored.
  ownership_lost,
  /// The entry exceeds the store's limits; nothing was written.
  too_large,
  /// Another pool has a job with this identifier; nothing was written.
  held_elsewhere,
};

/// Keys of a pool's records. Marks are small, so all marks of a pool are listed at once; the data
/// of a job is read on demand.
struct record_keys {
  static std::string marks_prefix(std::string const& pool);
  static std::string accepted_mark(std::string const& pool, std::string const& job);
  static std::string ended_mark(std::string const& pool, std::string const& job);
  static std::string data_prefix(std::string const& pool, std::string const& job);
  static std::string record(std::string const& pool, std::string const& job, std::size_t part);
  static std::string results_prefix(std::string const& pool, std::string const& job);
  static std::string results(std::string const& pool, std::string const& job, std::uint64_t first);
  /// @param sequence number of the checkpoint within the owner's epoch.
  static std::string progress(std::string const& pool, std::string const& job, std::uint64_t epoch,
                              std::uint64_t sequence);
  /// Returns the size of the job's longest possible key, in bytes.
  static std::size_t longest(std::string const& pool, std::string const& job);
};

/// A pool's jobs according to their marks; open jobs in the order of acceptance.
struct stored_marks {
  std::vector<std::string> open;
  /// Ended jobs with the contents of their marks; marks of older versions have none.
  std::map<std::string, std::optional<rpc::JobEndT>> ended;
};

/// Stored data of one job.
struct stored_job {
  std::optional<rpc::JobRecordT> record;
  std::vector<rpc::ResultBatchT> batches;
  /// Progress of long runs, in the order of writing.
  std::vector<rpc::ProgressReportT> checkpoints;
};

stored_marks read_marks(std::string const& pool, std::vector<kv::key_value> const& records);
/// Decodes the data of one job. Malformed records are skipped.
stored_job read_job(std::string const& pool, std::string const& job,
                    std::vector<kv::key_value> const& records);

class record_log {
 public:
  record_log(asio::io_context& context, kv::record_store& store, kv::store_limits limits,
             std::string pool);

  /// Starts writing as the owner of this epoch.
  /// @param owner_key key of the owner's record; writes take effect only while the revision of that
  /// record is `epoch`.
  void open(std::string owner_key, std::uint64_t epoch);
  /// Stops writing and completes all queued entries with ownership_lost.
  void close();

  using completion_handler = std::function<void(write_outcome)>;
  /// @param other_pools pools that may have accepted the job before its route moved; the job is
  /// stored only if none of them has.
  void write_record(rpc::JobRecordT const& record, completion_handler on_done,
                    std::vector<std::string> const& other_pools = {});
  void write_results(rpc::ResultBatchT const& batch, completion_handler on_done);
  void write_end(std::string const& job, rpc::JobEndT const& end, completion_handler on_done);
  /// Writes the mark that the pool has jobs (jobs/pool_mark). Entries queued later are stored no
  /// earlier.
  void write_pool_mark();
  void remove_pool_mark();
  /// Writes the progress of one job's samples. The caller is not told whether the write succeeded,
  /// because a lost checkpoint only means that samples may have to run again.
  void write_checkpoint(rpc::ProgressReportT const& report);
  /// Removes records of forgotten jobs.
  void remove(std::vector<std::string> keys);

  bool is_idle() const { return queue_.empty() && !writing_; }
  std::uint64_t transactions() const { return transactions_; }
  /// Limit of the value of one record, in bytes; lower than the store's own limit.
  std::size_t value_limit() const;

 private:
  struct entry {
    std::vector<kv::operation> operations;
    /// The records that are written may exist.
    bool overwrites = false;
    /// Keys that must not exist, besides those that are written.
    std::vector<std::string> absent_keys;
    std::size_t bytes = 0;
    completion_handler on_done;
  };

  /// How a transaction ended.
  struct group_outcome {
    bool stored = false;
    /// Keys that the comparisons found to exist, if it was not stored.
    std::set<std::string> existing_keys;
  };

  void enqueue(entry new_entry);
  awaitable<void> write_loop(std::uint64_t session);
  std::vector<entry> take_group();
  /// Writes entries in one transaction, and again without those that another pool holds.
  awaitable<void> write_group(std::vector<entry> group, std::uint64_t session);
  kv::transaction make_transaction(std::vector<entry> const& group) const;
  /// Completes the entries whose `absent_keys` exist. @return the other entries.
  static std::vector<entry> reject_held_elsewhere(std::vector<entry> group,
                                                  std::set<std::string> const& existing_keys);
  /// Retries the transaction until its outcome is known.
  /// @param bytes total size of the transaction's values.
  awaitable<group_outcome> apply_until_known(kv::transaction change, std::size_t bytes,
                                             std::uint64_t session);
  /// Returns true if the comparisons failed because an earlier try of the same transaction took
  /// effect.
  bool proves_own_write(kv::transaction const& change,
                        std::vector<kv::key_value> const& current) const;

  asio::io_context& context_;
  kv::record_store& store_;
  kv::store_limits limits_;
  std::string pool_;
  std::string owner_key_;
  std::uint64_t epoch_ = 0;
  /// Incremented by open and close; the write loop of an older session stops.
  std::uint64_t session_ = 0;
  bool open_ = false;
  bool writing_ = false;
  std::deque<entry> queue_;
  write_timeout_estimator write_timeout_;
  std::uint64_t transactions_ = 0;
  std::uint64_t checkpoints_ = 0;
};

}  // namespace frostline::jobs
