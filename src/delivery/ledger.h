/// @file Delivery state of one shard: classifies pulls and builds delivery records. No I/O; reads
/// no clock.
///
/// Samples count as delivered once the transaction that replaces the delivery record has committed.
/// A trainer acknowledges batch N by pulling with cursor N and the identity of N. Pulling again
/// with cursor N means that the trainer did not persist N+1, so N+1 may be replaced under a new
/// identity.
#pragma once

#include <string>
#include <vector>

#include "delivery/delivered_set.h"
#include "engines/spans.h"

namespace frostline::delivery {

/// One sample of a batch.
struct manifest_entry {
  sample_key key;
  std::string attempt;
  engines::span_list spans;
  bool failed = false;
  /// Number of samples in the group; 0 in entries that `adopt` read from a record.
  std::uint32_t group_size = 0;
};

/// What a pull asks for.
enum class pull_kind {
  /// The next batch; the last one is acknowledged.
  next,
  /// The last batch again.
  repeat,
  /// The identity does not match the batch at the cursor, which was replaced.
  superseded,
  /// The cursor is neither the last batch nor the one before it.
  out_of_order,
};

class ledger {
 public:
  ledger(std::uint64_t first_group, std::uint64_t stride) : delivered_(first_group, stride) {}

  pull_kind classify(std::uint64_t cursor, std::string const& identity) const;

  /// Builds the record that commits the next batch.
  rpc::DeliveryRecordT plan_next(std::vector<manifest_entry> const& entries,
                                 std::uint64_t published_version, std::string identity) const;
  /// Builds the record that replaces the last batch: samples in `withdrawn` are no longer
  /// delivered, those in `entries` are.
  rpc::DeliveryRecordT plan_replacement(std::vector<manifest_entry> const& entries,
                                        std::vector<manifest_entry> const& withdrawn,
                                        std::uint64_t published_version,
                                        std::string identity) const;
  /// Adopts a record that the store holds at `revision`.
  void adopt(rpc::DeliveryRecordT const& record, std::uint64_t revision);

  delivered_set const& delivered() const { return delivered_; }
  std::vector<manifest_entry> const& manifest() const { return manifest_; }
  std::uint64_t batch() const { return batch_; }
  std::string const& identity() const { return identity_; }
  std::uint64_t published_version() const { return published_version_; }
  /// Revision of the stored record; 0 if there is none.
  std::uint64_t revision() const { return revision_; }

 private:
  delivered_set delivered_;
  std::vector<manifest_entry> manifest_;
  std::uint64_t batch_ = 0;
  std::string identity_;
  std::string previous_identity_;
  std::uint64_t published_version_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace frostline::delivery
