/// @file Replaces a shard's delivery record in one fenced transaction, and resolves transactions
/// with an unknown outcome.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/client.h"
#include "schema/frostline_generated.h"

namespace frostline::delivery {

enum class commit_result {
  /// The record is stored; from `confirm`: all conditions hold.
  committed,
  /// Another owner holds the shard, so this one must stop.
  fenced,
  /// Another version was published since the batch was planned.
  version_changed,
  /// The stored record is not the one that the plan is based on; read it again.
  record_changed,
  /// It is unknown whether the record was stored.
  in_doubt,
  /// The store returned an error; nothing was changed.
  unavailable,
};

/// Keys and revisions that a commit compares.
struct commit_conditions {
  std::string owner_key;
  kv::revision epoch = 0;
  std::string version_key;
  kv::revision version_revision = 0;
  std::string record_key;
  kv::revision record_revision = 0;
};

struct commit_answer {
  commit_result result = commit_result::unavailable;
  /// Revision of the stored record, or of the store after `confirm`; 0 if unknown.
  kv::revision revision = 0;
  /// The current entry of the version key, if the version changed and the key exists.
  std::optional<kv::key_value> version_entry;
};

struct stored_record {
  rpc::DeliveryRecordT record;
  kv::revision revision = 0;
};

/// Determines the failed condition from the current entries in the answer. No I/O.
commit_answer explain_failure(commit_conditions const& conditions,
                              kv::transaction_answer const& answer);

class committer {
 public:
  explicit committer(kv::client& service) : service_(service) {}

  /// Stores `record` if all conditions hold. If the outcome is unknown, reads the record back.
  awaitable<commit_answer> commit(commit_conditions conditions, rpc::DeliveryRecordT const& record);
  /// Checks the conditions without changing anything.
  awaitable<commit_answer> confirm(commit_conditions conditions);
  /// @return the stored record (revision 0 if there is none), or the store's error.
  awaitable<result<stored_record>> read(std::string record_key);

 private:
  awaitable<commit_answer> resolve(commit_conditions conditions, std::string identity);

  kv::client& service_;
};

}  // namespace frostline::delivery
