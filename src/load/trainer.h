/// @file Trainer client for experiments: submits prompts, pulls batches with a durable cursor,
/// publishes new versions, and journals what it receives.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"
#include "rpc/client.h"
#include "standin/journal.h"

namespace frostline::load {

struct trainer_options {
  std::vector<endpoint> nodes;
  std::string task;
  /// IP:port of the weight store that engines load from.
  std::string weight_store;
  std::uint32_t steps = 4;
  std::uint32_t samples_per_step = 128;
  std::uint32_t group_size = 4;
  std::uint32_t max_tokens = 256;
  /// Duration of one training step.
  milliseconds train_time{500};
  /// Steps whose prompts are submitted ahead of the one being trained.
  std::uint32_t steps_ahead = 1;
  std::string journal_path;
  std::uint64_t seed = 1;
  /// Once this file exists, no further step is submitted; submitted steps are still trained. Empty
  /// for none.
  std::string stop_file;
  /// Time limit of the whole run.
  milliseconds timeout{120'000};
};

struct trainer_report {
  std::uint64_t samples_received = 0;
  std::uint32_t steps_done = 0;
  double idle_seconds = 0;
  double total_seconds = 0;
  std::uint64_t superseded_batches = 0;
  bool finished = false;
};

class trainer {
 public:
  trainer(asio::io_context& context, trainer_options options);

  /// Runs all steps, unless stopped earlier by the stop file or the timeout.
  awaitable<trainer_report> run();

 private:
  struct shard_cursor {
    std::uint64_t batch = 0;
    std::string identity;
  };

  awaitable<bool> publish(std::uint64_t version);
  awaitable<bool> submit_step(std::uint32_t step);
  awaitable<void> pull_loop(std::uint32_t shard);
  awaitable<void> pull_once(std::uint32_t shard);
  void record_batch(std::uint32_t shard, rpc::BatchT const& batch, std::uint64_t revision);
  awaitable<bool> wait_for_step(std::uint32_t step);
  bool stop_requested() const;
  bool timed_out() const { return boot_clock::now() >= deadline_; }
  endpoint const& next_node();
  std::string make_prompt(std::uint64_t group) const;
  std::uint64_t groups_per_step() const;

  asio::io_context& context_;
  trainer_options options_;
  http::client client_;
  standin::journal journal_;
  async_condition batch_received_;
  time_point deadline_;
  std::size_t node_index_ = 0;
  std::vector<shard_cursor> cursors_;
  /// Samples received, indexed by step.
  std::vector<std::uint64_t> received_per_step_;
  trainer_report report_;
  bool done_ = false;
};

}  // namespace frostline::load
