#include "jobs/record_log.h"

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <cstdio>
#include <limits>
#include <map>
#include <set>

#include "base/jitter.h"
#include "base/log.h"
#include "http/target.h"
#include "jobs/pool_mark.h"
#include "rpc/codec.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
constexpr std::string_view k_prefix = "frostline/jobs/";
constexpr std::string_view k_marks_part = "/marks/";
constexpr std::string_view k_data_part = "/data/";
constexpr std::string_view k_record_part = "record/";
constexpr std::string_view k_results_part = "results/";
constexpr std::string_view k_progress_part = "progress/";
constexpr std::string_view k_accepted = "/accepted";
constexpr std::string_view k_ended = "/ended";
constexpr char k_mark_value[] = "1";
constexpr milliseconds k_retry_delay{120};
constexpr milliseconds k_retry_delay_after_timeout{5};
/// Limit of the total size of the values in one transaction of several entries, in bytes. Leaves
/// space for keys and framing.
constexpr std::size_t k_group_bytes = 4 << 20;

std::string padded(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof text, "%08llu", static_cast<unsigned long long>(number));
  return text;
}

/// Returns a job's identifier as one part of a key: without slashes, which end the part.
std::string key_part(std::string const& job) {
  constexpr auto k_literal = boost::urls::unreserved_chars + "!$&'()*+,;=:@";
  return boost::urls::encode(job, k_literal);
}

kv::operation put(std::string key, std::string value) {
  kv::operation operation;
  operation.key = std::move(key);
  operation.value = std::move(value);
  return operation;
}

}  // namespace

std::string record_keys::marks_prefix(std::string const& pool) {
  return std::string(k_prefix) + pool + std::string(k_marks_part);
}

std::string record_keys::accepted_mark(std::string const& pool, std::string const& job) {
  return marks_prefix(pool) + key_part(job) + std::string(k_accepted);
}

std::string record_keys::ended_mark(std::string const& pool, std::string const& job) {
  return marks_prefix(pool) + key_part(job) + std::string(k_ended);
}

std::string record_keys::data_prefix(std::string const& pool, std::string const& job) {
  return std::string(k_prefix) + pool + std::string(k_data_part) + key_part(job) + "/";
}

std::string record_keys::record(std::string const& pool, std::string const& job, std::size_t part) {
  return data_prefix(pool, job) + std::string(k_record_part) + padded(part);
}

std::string record_keys::results_prefix(std::string const& pool, std::string const& job) {
  return data_prefix(pool, job) + std::string(k_results_part);
}

std::string record_keys::results(std::string const& pool, std::string const& job,
                                 std::uint64_t first) {
  return results_prefix(pool, job) + padded(first);
}

std::string record_keys::progress(std::string const& pool, std::string const& job,
                                  std::uint64_t epoch, std::uint64_t sequence) {
  return data_prefix(pool, job) + std::string(k_progress_part) + padded(epoch) + "/" +
         padded(sequence);
}

std::size_t record_keys::longest(std::string const& pool, std::string const& job) {
  constexpr std::uint64_t k_largest = std::numeric_limits<std::uint64_t>::max();
  return std::max(progress(pool, job, k_largest, k_largest).size(), ended_mark(pool, job).size());
}

stored_marks read_marks(std::string const& pool, std::vector<kv::key_value> const& records) {
  std::size_t const prefix = record_keys::marks_prefix(pool).size();
  // Jobs accepted in one transaction have the same revision.
  std::set<std::pair<kv::revision, std::string>> accepted;
  std::map<std::string, std::optional<rpc::JobEndT>> ended;
  for (kv::key_value const& record : records) {
    std::string const rest = record.key.substr(std::min(prefix, record.key.size()));
    std::string const job = http::percent_decode(rest.substr(0, rest.find('/')));
    if (rest.ends_with(k_accepted)) accepted.emplace(record.create_revision, job);
    if (rest.ends_with(k_ended)) ended[job] = rpc::decode<rpc::JobEndT>(record.value);
  }
  stored_marks marks;
  for (auto const& [revision, job] : accepted) {
    auto const found = ended.find(job);
    if (found == ended.end()) {
      marks.open.push_back(job);
    } else {
      marks.ended.insert(*found);
    }
  }
  return marks;
}

stored_job read_job(std::string const& pool, std::string const& job,
                    std::vector<kv::key_value> const& records) {
  std::size_t const prefix = record_keys::data_prefix(pool, job).size();
  // Sorting by key restores the order of record parts, results and checkpoints.
  std::map<std::string, std::string> sorted;
  for (kv::key_value const& record : records) {
    sorted[record.key.substr(std::min(prefix, record.key.size()))] = record.value;
  }
  stored_job found;
  std::string record;
  for (auto const& [key, value] : sorted) {
    if (key.starts_with(k_record_part)) record += value;
    if (key.starts_with(k_progress_part)) {
      auto report = rpc::decode<rpc::ProgressReportT>(value);
      if (report) found.checkpoints.push_back(std::move(*report));
    }
    if (!key.starts_with(k_results_part)) continue;
    auto batch = rpc::decode<rpc::ResultBatchT>(value);
    if (batch) found.batches.push_back(std::move(*batch));
  }
  found.record = rpc::decode<rpc::JobRecordT>(record);
  return found;
}

record_log::record_log(asio::io_context& context, kv::record_store& store, kv::store_limits limits,
                       std::string pool)
    : context_(context), store_(store), limits_(limits), pool_(std::move(pool)) {}

std::size_t record_log::value_limit() const { return limits_.value_bytes / 8 * 5; }

void record_log::open(std::string owner_key, std::uint64_t epoch) {
  owner_key_ = std::move(owner_key);
  epoch_ = epoch;
  open_ = true;
  writing_ = false;
  ++session_;
}

void record_log::close() {
  open_ = false;
  writing_ = false;
  ++session_;
  std::deque<entry> dropped;
  dropped.swap(queue_);
  for (entry& queued : dropped) {
    if (queued.on_done) queued.on_done(write_outcome::ownership_lost);
  }
}

void record_log::enqueue(entry new_entry) {
  if (!open_) {
    if (new_entry.on_done) new_entry.on_done(write_outcome::ownership_lost);
    return;
  }
  for (kv::operation const& operation : new_entry.operations)
    new_entry.bytes += operation.value.size();
  queue_.push_back(std::move(new_entry));
  if (writing_) return;
  writing_ = true;
  spawn(context_, write_loop(session_));
}

void record_log::write_record(rpc::JobRecordT const& record, completion_handler on_done,
                              std::vector<std::string> const& other_pools) {
  std::string const bytes = rpc::encode(record);
  entry new_entry;
  new_entry.on_done = std::move(on_done);
  for (std::string const& pool : other_pools) {
    new_entry.absent_keys.push_back(record_keys::accepted_mark(pool, record.id));
  }
  std::size_t const limit = value_limit();
  for (std::size_t part = 0; part * limit < bytes.size(); ++part) {
    new_entry.operations.push_back(
        put(record_keys::record(pool_, record.id, part), bytes.substr(part * limit, limit)));
  }
  new_entry.operations.push_back(put(record_keys::accepted_mark(pool_, record.id), k_mark_value));
  std::size_t const checked = new_entry.operations.size() + new_entry.absent_keys.size() / 2;
  if (checked + 1 > limits_.operations_per_transaction / 2) {
    new_entry.on_done(write_outcome::too_large);
    return;
  }
  enqueue(std::move(new_entry));
}

void record_log::write_results(rpc::ResultBatchT const& batch, completion_handler on_done) {
  entry new_entry;
  new_entry.on_done = std::move(on_done);
  new_entry.operations.push_back(
      put(record_keys::results(pool_, batch.job, batch.first), rpc::encode(batch)));
  enqueue(std::move(new_entry));
}

void record_log::write_end(std::string const& job, rpc::JobEndT const& end,
                           completion_handler on_done) {
  entry new_entry;
  new_entry.on_done = std::move(on_done);
  new_entry.operations.push_back(put(record_keys::ended_mark(pool_, job), rpc::encode(end)));
  enqueue(std::move(new_entry));
}

void record_log::write_pool_mark() {
  entry new_entry;
  new_entry.operations.push_back(put(pool_mark_key(pool_), k_mark_value));
  new_entry.overwrites = true;
  enqueue(std::move(new_entry));
}

void record_log::remove_pool_mark() { remove({pool_mark_key(pool_)}); }

void record_log::write_checkpoint(rpc::ProgressReportT const& report) {
  entry new_entry;
  std::string key = record_keys::progress(pool_, report.jobs.front(), epoch_, ++checkpoints_);
  new_entry.operations.push_back(put(std::move(key), rpc::encode(report)));
  enqueue(std::move(new_entry));
}

void record_log::remove(std::vector<std::string> keys) {
  entry new_entry;
  for (std::string& key : keys) {
    kv::operation removal;
    removal.kind = kv::operation_kind::remove;
    removal.key = std::move(key);
    new_entry.operations.push_back(std::move(removal));
    if (new_entry.operations.size() + 1 < limits_.operations_per_transaction / 2) continue;
    enqueue(std::move(new_entry));
    new_entry = entry();
  }
  if (!new_entry.operations.empty()) enqueue(std::move(new_entry));
}

std::vector<record_log::entry> record_log::take_group() {
  std::vector<entry> group;
  // Each operation may need its own comparison, in addition to that of the owner's record.
  std::size_t operations_left = limits_.operations_per_transaction - 1;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    entry& next = queue_.front();
    std::size_t const needed = next.operations.size() * 2 + next.absent_keys.size();
    if (!group.empty() && (needed > operations_left || bytes + next.bytes > k_group_bytes)) break;
    operations_left -= std::min(needed, operations_left);
    bytes += next.bytes;
    group.push_back(std::move(next));
    queue_.pop_front();
  }
  return group;
}

kv::transaction record_log::make_transaction(std::vector<entry> const& group) const {
  kv::transaction change;
  change.compares.push_back({owner_key_, epoch_});
  for (entry const& queued : group) {
    for (std::string const& key : queued.absent_keys) change.compares.push_back({key, 0});
    for (kv::operation const& operation : queued.operations) {
      bool const is_new = operation.kind == kv::operation_kind::put && !queued.overwrites;
      if (is_new) change.compares.push_back({operation.key, 0});
      change.on_success.push_back(operation);
    }
  }
  return change;
}

bool record_log::proves_own_write(kv::transaction const& change,
                                  std::vector<kv::key_value> const& current) const {
  std::map<std::string, kv::key_value const*> by_key;
  for (kv::key_value const& record : current) by_key[record.key] = &record;
  std::set<std::string_view> written;
  for (kv::operation const& operation : change.on_success) written.insert(operation.key);
  for (kv::compare const& compare : change.compares) {
    if (compare.key != owner_key_ && !written.contains(compare.key)) continue;
    auto const found = by_key.find(compare.key);
    bool const exists = found != by_key.end() && found->second->mod_revision != 0;
    if (compare.key == owner_key_) {
      if (!exists || found->second->mod_revision != epoch_) return false;
    } else if (!exists) {
      return false;
    }
  }
  return true;
}

awaitable<record_log::group_outcome> record_log::apply_until_known(kv::transaction change,
                                                                   std::size_t bytes,
                                                                   std::uint64_t session) {
  group_outcome result;
  for (std::size_t tries = 0; session == session_; ++tries) {
    ++transactions_;
    time_point const sent_at = boot_clock::now();
    auto outcome = co_await store_.apply(change, write_timeout_.timeout_for(bytes, tries));
    if (session != session_) co_return result;
    auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - sent_at);
    if (outcome) {
      write_timeout_.note_answer(spent);
      auto const& read = outcome.value().read;
      result.stored = outcome.value().succeeded || proves_own_write(change, read);
      for (kv::key_value const& record : read) {
        if (record.mod_revision != 0) result.existing_keys.insert(record.key);
      }
      co_return result;
    }
    log_line(log_level::warning, k_part, "Write outcome unknown; retrying.",
             {{"pool", pool_},
              {"epoch", epoch_},
              {"error", outcome.error().message()},
              {"after_ms", spent.count()},
              {"tries", tries + 1}});
    // Backs off after an immediate failure. After a timeout, enough time has passed already.
    bool const waited = spent >= write_timeout_estimator::k_min_timeout;
    co_await wait_for(waited ? k_retry_delay_after_timeout : with_jitter(k_retry_delay));
  }
  co_return result;
}

std::vector<record_log::entry> record_log::reject_held_elsewhere(
    std::vector<entry> group, std::set<std::string> const& existing_keys) {
  std::vector<entry> others;
  for (entry& queued : group) {
    bool const held =
        std::any_of(queued.absent_keys.begin(), queued.absent_keys.end(),
                    [&](std::string const& key) { return existing_keys.contains(key); });
    if (held) {
      queued.on_done(write_outcome::held_elsewhere);
    } else {
      others.push_back(std::move(queued));
    }
  }
  return others;
}

awaitable<void> record_log::write_group(std::vector<entry> group, std::uint64_t session) {
  group_outcome outcome;
  while (!group.empty()) {
    std::size_t bytes = 0;
    for (entry const& queued : group) bytes += queued.bytes;
    outcome = co_await apply_until_known(make_transaction(group), bytes, session);
    std::size_t const tried = group.size();
    if (!outcome.stored && session == session_)
      group = reject_held_elsewhere(std::move(group), outcome.existing_keys);
    if (group.size() == tried) break;
  }
  if (!group.empty() && !outcome.stored && session == session_) {
    log_line(log_level::warning, k_part, "Write rejected: no longer the owner.",
             {{"pool", pool_}, {"epoch", epoch_}});
  }
  for (entry& queued : group) {
    if (!queued.on_done) continue;
    queued.on_done(outcome.stored ? write_outcome::stored : write_outcome::ownership_lost);
  }
}

awaitable<void> record_log::write_loop(std::uint64_t session) {
  while (session == session_ && !queue_.empty()) co_await write_group(take_group(), session);
  if (session == session_) writing_ = false;
}

}  // namespace frostline::jobs
