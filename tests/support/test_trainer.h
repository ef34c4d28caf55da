/// @file A trainer that a test drives step by step. It writes the samples that it makes durable to
/// the journal that the checker reads.
#pragma once

#include <map>
#include <string>

#include "cluster.h"
#include "load/checker.h"
#include "standin/journal.h"

namespace frostline::testing {

class test_trainer {
 public:
  using pull_reply = rpc::reply<rpc::PullBatchResponseT>;

  /// Creates a trainer that pulls from one shard of `task`.
  test_trainer(cluster& system, std::string task, std::uint32_t shard = 0);

  /// Submits `count` groups, starting with number `first`; retries until they are accepted.
  void submit(std::uint64_t first, std::uint64_t count, std::uint32_t samples,
              std::uint32_t max_tokens);
  /// Pulls once with the durable cursor, without advancing it.
  /// @param direct the node must answer itself and not forward the pull.
  pull_reply pull(std::uint32_t by_node, milliseconds wait = milliseconds(1000),
                  bool direct = false);
  /// Pulls once with the given cursor.
  pull_reply pull_at(std::uint64_t cursor, std::string const& identity, std::uint32_t by_node);
  /// Makes a batch durable: advances the cursor and writes the samples to the journal.
  void make_durable(rpc::PullBatchResponseT const& answer);
  /// Pulls from the nodes in turn until `wanted` samples in total are durable.
  void pull_until(std::size_t wanted, milliseconds timeout = milliseconds(60'000));

  std::size_t durable_count() const { return durable_count_; }
  std::uint64_t cursor() const { return cursor_; }
  std::string const& identity() const { return identity_; }
  /// Nodes to pull from, in round-robin order.
  std::vector<std::uint32_t> nodes_to_pull = {0, 1, 2};

 private:
  cluster& system_;
  std::string task_;
  std::uint32_t shard_;
  standin::journal journal_;
  std::uint64_t cursor_ = 0;
  std::string identity_;
  std::size_t durable_count_ = 0;
};

/// Returns the name of the node that owns a shard according to `by_node`; empty if none does.
std::string owner_of(cluster& system, std::string const& task, std::uint32_t shard,
                     std::uint32_t by_node);

/// Returns the index at the end of a name such as "node-2".
std::uint32_t index_of(std::string const& name);

/// Returns the shard's status as reported by its owner; nothing if no owner answers.
std::optional<rpc::ShardStatusT> shard_status(cluster& system, std::string const& task,
                                              std::uint32_t shard, std::uint32_t by_node);

/// Waits until a shard has an owner. @return the owner's index.
std::uint32_t wait_for_owner(cluster& system, std::string const& task, std::uint32_t shard,
                             std::uint32_t by_node);

/// Waits until `wanted` samples of a shard are finished but not delivered.
void wait_for_finished(cluster& system, std::string const& task, std::uint32_t shard,
                       std::uint32_t by_node, std::uint32_t wanted);

/// Runs the checker on the journals written so far.
load::check_report check_run(cluster& system);
std::string describe(load::check_report const& report);

}  // namespace frostline::testing
