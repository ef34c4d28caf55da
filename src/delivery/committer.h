/// @file Replaces a shard's delivery record by one fenced transaction, and finds out what became of
/// a transaction whose answer was lost.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/client.h"
#include "schema/frostline_generated.h"

namespace frostline::delivery {

enum class commit_result {
  /// The record is in force.
  committed,
  /// Another owner holds the shard: this one must stop.
  fenced,
  /// Another version was published since the batch was planned.
  version_changed,
  /// The record is not the one the plan was made from; read it again.
  record_changed,
  /// It can't be known now whether the record is in force.
  in_doubt,
  /// Nothing was changed; the service is not there.
  unavailable,
};

/// What a commit depends on, and so compares.
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
  /// Revision of the commit.
  kv::revision revision = 0;
  /// With version_changed: what the version key holds now.
  std::optional<kv::key_value> version_entry;
};

/// A delivery record as the store holds it.
struct stored_record {
  rpc::DeliveryRecordT record;
  kv::revision revision = 0;
};

/// Which condition failed, by what the store holds now. Pure.
commit_answer explain_failure(commit_conditions const& conditions,
                              kv::transaction_answer const& answer);

class committer {
 public:
  explicit committer(kv::client& service) : service_(service) {}

  /// Puts `record` in force if all conditions hold. A lost answer is resolved by reading back.
  awaitable<commit_answer> commit(commit_conditions conditions, rpc::DeliveryRecordT const& record);
  /// Checks the conditions and changes nothing.
  awaitable<commit_answer> confirm(commit_conditions conditions);
  /// @return the stored record (revision 0 if there is none yet), or the service's error.
  awaitable<result<stored_record>> read(std::string record_key);

 private:
  awaitable<commit_answer> resolve(commit_conditions conditions, std::string identity);

  kv::client& service_;
};

}  // namespace frostline::delivery
