/// @file Model of an inference engine: continuous batching, prefix cache, versions, fenced orders.
/// No I/O; reads no clock: the server calls `step`.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace frostline::standin {

/// A sample to generate.
struct generation_request {
  std::string id;
  std::string model;
  std::string prompt;
  std::uint32_t sample_index = 0;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  /// Tokens that another engine has already generated.
  std::uint32_t resume_tokens = 0;
};

/// Tokens that one step generated for one sample.
struct generated_tokens {
  std::string id;
  std::uint64_t version = 0;
  std::string text;
  std::uint32_t tokens = 0;
  bool finished = false;
};

/// LRU cache of prompts, bounded by their total size in tokens. The most recently used prompt stays
/// cached even if it is larger than the capacity.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint32_t capacity_tokens) : capacity_(capacity_tokens) {}

  /// Makes the prompt the most recently used one. @return true if it was cached.
  bool touch(std::string const& prompt, std::uint32_t tokens);

 private:
  struct cached_prompt {
    std::string prompt;
    std::uint32_t tokens;
  };
  std::uint32_t capacity_;
  std::uint32_t used_ = 0;
  std::list<cached_prompt> recent_;
};

/// Result of checking a load order, which carries the epoch of its sender.
enum class order_result { accepted, stale_epoch, conflicting_content };

class engine_model {
 public:
  engine_model(std::uint32_t slots, std::uint32_t cache_tokens, std::uint64_t seed)
      : slots_(slots), cache_(cache_tokens), seed_(seed) {}

  /// Queues a sample: higher priorities first, equal ones in order of arrival.
  /// @return false if the queue is full.
  bool submit(generation_request request);
  /// @return false if the sample is unknown.
  bool cancel(std::string const& id);
  /// Moves waiting samples to free slots and generates one token for each running sample that has
  /// completed its prefill.
  std::vector<generated_tokens> step();

  /// Checks a load order. The epoch of an accepted order becomes the engine's epoch.
  /// @return conflicting_content if the order has the engine's epoch but an older version.
  order_result check_order(std::uint64_t epoch, std::string const& model, std::uint64_t version);
  void set_version(std::string const& model, std::uint64_t version) { versions_[model] = version; }

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint32_t slots() const { return slots_; }
  std::uint64_t epoch() const { return epoch_; }
  std::map<std::string, std::uint64_t> const& versions() const { return versions_; }
  bool has_model(std::string const& model) const { return versions_.contains(model); }

 private:
  struct running_sample {
    generation_request request;
    std::uint32_t position = 0;
    std::uint32_t length = 0;
    std::uint32_t prefill_steps = 0;
  };

  void admit_waiting();

  std::uint32_t slots_;
  prefix_cache cache_;
  std::uint64_t seed_;
  std::uint64_t epoch_ = 0;
  std::map<std::string, std::uint64_t> versions_;
  std::deque<generation_request> waiting_;
  std::list<running_sample> running_;
};

/// Returns the length of a sample in tokens: Pareto-distributed, `max_tokens` at most, and the same
/// on every engine with the same seed.
std::uint32_t sample_length(std::string const& prompt, std::uint32_t sample_index,
                            std::uint32_t max_tokens, std::uint64_t seed);

/// Returns the text of the token at `position`: the version, and a hash of prompt, sample and
/// position by which the checker verifies it.
std::string token_text(std::uint64_t version, std::string const& prompt, std::uint32_t sample_index,
                       std::uint32_t position);

}  // namespace frostline::standin
