/// @file Model of an inference engine: continuous batching, prefix cache, versions, fenced orders.
/// Pure: the server drives it step by step and passes the time in.
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

/// One sample to generate.
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

/// Tokens that one step produced for one sample.
struct generated_tokens {
  std::string id;
  std::uint64_t version = 0;
  std::string text;
  std::uint32_t tokens = 0;
  bool finished = false;
};

/// Least recently used prompts, by their size in tokens.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint32_t capacity_tokens) : capacity_(capacity_tokens) {}

  /// @return whether the prompt was held; it is the most recent one afterwards.
  bool touch(std::string const& prompt, std::uint32_t tokens);

 private:
  struct held_prompt {
    std::string prompt;
    std::uint32_t tokens;
  };
  std::uint32_t capacity_;
  std::uint32_t used_ = 0;
  std::list<held_prompt> recent_;
};

/// Answer to a fenced order.
enum class order_result { accepted, stale_epoch, conflicting_content };

class engine_model {
 public:
  engine_model(std::uint32_t slots, std::uint32_t cache_tokens, std::uint64_t seed)
      : slots_(slots), cache_(cache_tokens), seed_(seed) {}

  /// Queues a sample by priority. @return false if the queue is full.
  bool submit(generation_request request);
  /// @return whether the sample was known.
  bool cancel(std::string const& id);
  /// Generates one token for each running sample.
  std::vector<generated_tokens> step();

  /// Checks an order's epoch; an accepted one raises the engine's epoch.
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

/// Tokens that a sample will have: heavy-tailed, the same on every engine of one seed.
std::uint32_t sample_length(std::string const& prompt, std::uint32_t sample_index,
                            std::uint32_t max_tokens, std::uint64_t seed);

/// Text of the token at `position`: names the version that made it and proves whose it is.
std::string token_text(std::uint64_t version, std::string const& prompt, std::uint32_t sample_index,
                       std::uint32_t position);

}  // namespace frostline::standin
