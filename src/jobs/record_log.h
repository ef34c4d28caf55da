/// @file Writes a pool's jobs, results and ends to the record store: one transaction at a time,
/// each repeated until its outcome is known, so that what was acknowledged is stored exactly once.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "jobs/write_patience.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// How an entry's writing ended.
enum class write_outcome {
  stored,
  /// This node is not the owner any more: what came of the entry is unknown.
  ownership_lost,
  /// It is larger than the store takes; nothing was written.
  too_large,
};

/// Keys of a pool's records. Marks are small and listed as a whole; the data of a job is read only
/// when it is needed.
struct record_keys {
  static std::string marks_prefix(std::string const& pool);
  static std::string accepted_mark(std::string const& pool, std::string const& job);
  static std::string ended_mark(std::string const& pool, std::string const& job);
  static std::string data_prefix(std::string const& pool, std::string const& job);
  static std::string record(std::string const& pool, std::string const& job, std::size_t part);
  static std::string results_prefix(std::string const& pool, std::string const& job);
  static std::string results(std::string const& pool, std::string const& job, std::uint64_t first);
  /// @param sequence counts an owner's checkpoints.
  static std::string progress(std::string const& pool, std::string const& job, std::uint64_t epoch,
                              std::uint64_t sequence);
};

/// A pool's jobs by their marks, in the order in which they were accepted.
struct stored_marks {
  std::vector<std::string> open;
  /// With what their marks say of them; marks of older versions say nothing.
  std::map<std::string, std::optional<rpc::JobEndT>> ended;
};

/// The data of one job.
struct stored_job {
  std::optional<rpc::JobRecordT> record;
  std::vector<rpc::ResultBatchT> batches;
  /// Progress of its long runs, in the order in which it was written.
  std::vector<rpc::ProgressReportT> checkpoints;
};

stored_marks read_marks(std::string const& pool, std::vector<kv::key_value> const& records);
/// Malformed records are left out.
stored_job read_job(std::string const& pool, std::string const& job,
                    std::vector<kv::key_value> const& records);

class record_log {
 public:
  record_log(asio::io_context& context, kv::record_store& store, kv::store_limits limits,
             std::string pool);

  /// Begins to write as the owner of this epoch.
  /// @param owner_key its record must have this revision for any write to take effect.
  void open(std::string owner_key, std::uint64_t epoch);
  /// Ends what is queued with ownership_lost.
  void close();

  using done = std::function<void(write_outcome)>;
  void write_record(rpc::JobRecordT const& record, done on_done);
  void write_results(rpc::ResultBatchT const& batch, done on_done);
  void write_end(std::string const& job, rpc::JobEndT const& end, done on_done);
  /// Progress of one job's samples. What is lost of it is begun anew: nobody waits for it.
  void write_checkpoint(rpc::ProgressReportT const& report);
  /// Removes records that nobody may ask for any more.
  void remove(std::vector<std::string> keys);

  bool is_idle() const { return queue_.empty() && !writing_; }
  std::uint64_t transactions() const { return transactions_; }
  /// Largest value that fits one record.
  std::size_t value_limit() const;

 private:
  struct entry {
    std::vector<kv::operation> operations;
    std::size_t bytes = 0;
    done on_done;
  };

  void enqueue(entry one);
  awaitable<void> write_loop(std::uint64_t session);
  std::vector<entry> take_group();
  kv::transaction make_transaction(std::vector<entry> const& group) const;
  /// Applies the transaction until its outcome is known. @return whether it is stored.
  /// @param bytes of its values.
  awaitable<bool> apply_until_known(kv::transaction change, std::size_t bytes,
                                    std::uint64_t session);
  /// Whether a failed comparison means that an earlier try of the same transaction took effect.
  bool shows_own_write(kv::transaction const& change,
                       std::vector<kv::key_value> const& current) const;

  asio::io_context& context_;
  kv::record_store& store_;
  kv::store_limits limits_;
  std::string pool_;
  std::string owner_key_;
  std::uint64_t epoch_ = 0;
  /// Grows with each open and close; a loop of an older session ends.
  std::uint64_t session_ = 0;
  bool open_ = false;
  bool writing_ = false;
  std::deque<entry> queue_;
  write_patience patience_;
  std::uint64_t transactions_ = 0;
  std::uint64_t checkpoints_ = 0;
};

}  // namespace frostline::jobs
