/// @file A trainer that a test moves step by step. What it makes durable goes into the journal that
/// the checker reads.
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

  /// Pulls one shard of `task`.
  test_trainer(cluster& system, std::string task, std::uint32_t shard = 0);

  /// Submits `count` groups from `first` on; tries until they are accepted.
  void submit(std::uint64_t first, std::uint64_t count, std::uint32_t samples,
              std::uint32_t max_tokens);
  /// One pull with the durable cursor; changes nothing.
  /// @param direct ask this node itself, without its passing the pull on.
  pull_reply pull(std::uint32_t by_node, milliseconds wait = milliseconds(1000),
                  bool direct = false);
  /// A pull with any cursor.
  pull_reply pull_at(std::uint64_t cursor, std::string const& identity, std::uint32_t by_node);
  /// Makes a batch durable: the cursor moves and the journal gets its samples.
  void keep(rpc::PullBatchResponseT const& answer);
  /// Pulls and keeps until `wanted` samples are kept in all; asks nodes in turn.
  void pull_until(std::size_t wanted, milliseconds timeout = milliseconds(60'000));

  std::size_t kept() const { return kept_; }
  std::uint64_t cursor() const { return cursor_; }
  std::string const& identity() const { return identity_; }
  /// Nodes that are asked in turn.
  std::vector<std::uint32_t> ask = {0, 1, 2};

 private:
  cluster& system_;
  std::string task_;
  std::uint32_t shard_;
  standin::journal journal_;
  std::uint64_t cursor_ = 0;
  std::string identity_;
  std::size_t kept_ = 0;
};

/// Name of the node that owns a shard, as `by_node` knows it; empty if none does.
std::string owner_of(cluster& system, std::string const& task, std::uint32_t shard,
                     std::uint32_t by_node);

/// Index at the end of a name such as "node-2".
std::uint32_t index_of(std::string const& name);

/// The status of a shard from its owner; nothing if no owner answers.
std::optional<rpc::ShardStatusT> shard_status(cluster& system, std::string const& task,
                                              std::uint32_t shard, std::uint32_t by_node);

/// Waits until a shard has an owner. @return the owner's index.
std::uint32_t wait_for_owner(cluster& system, std::string const& task, std::uint32_t shard,
                             std::uint32_t by_node);

/// Waits until so many samples of a shard are finished and undelivered.
void wait_for_finished(cluster& system, std::string const& task, std::uint32_t shard,
                       std::uint32_t by_node, std::uint32_t wanted);

/// The checker's verdict on the journals so far.
load::check_report check_run(cluster& system);
std::string describe(load::check_report const& report);

}  // namespace frostline::testing
