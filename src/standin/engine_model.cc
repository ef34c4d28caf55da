#include "standin/engine_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "base/encoding.h"

namespace frostline::standin {
namespace {

constexpr std::size_t k_waiting_limit = 64;
constexpr std::uint32_t k_prefill_tokens_per_step = 64;
constexpr std::uint32_t k_characters_per_token = 4;
/// Parameters of the Pareto distribution of sample lengths.
constexpr double k_length_shape = 1.2;
constexpr double k_length_scale = 24;

}  // namespace

std::uint32_t sample_length(std::string const& prompt, std::uint32_t sample_index,
                            std::uint32_t max_tokens, std::uint64_t seed) {
  std::uint64_t const bits = hash_bytes(prompt, seed * 1000003 + sample_index);
  double const uniform = (static_cast<double>(bits >> 11) + 1) / 9007199254740993.0;
  double const length = k_length_scale / std::pow(uniform, 1 / k_length_shape);
  double const capped = std::min<double>(length, max_tokens);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(capped));
}

std::string token_text(std::uint64_t version, std::string const& prompt, std::uint32_t sample_index,
                       std::uint32_t position) {
  std::string const place = std::to_string(sample_index) + "/" + std::to_string(position);
  std::uint64_t const proof = hash_bytes(place, hash_bytes(prompt)) & 0xffff;
  char text[40];
  std::snprintf(text, sizeof text, "%llu:%04llx ", static_cast<unsigned long long>(version),
                static_cast<unsigned long long>(proof));
  return text;
}

bool prefix_cache::touch(std::string const& prompt, std::uint32_t tokens) {
  auto const found = std::find_if(recent_.begin(), recent_.end(), [&](cached_prompt const& cached) {
    return cached.prompt == prompt;
  });
  if (found != recent_.end()) {
    recent_.splice(recent_.begin(), recent_, found);
    return true;
  }
  recent_.push_front({prompt, tokens});
  used_ += tokens;
  while (used_ > capacity_ && recent_.size() > 1) {
    used_ -= recent_.back().tokens;
    recent_.pop_back();
  }
  return false;
}

bool engine_model::submit(generation_request request) {
  if (waiting_.size() >= k_waiting_limit) return false;
  auto const lower = [](generation_request const& queued, std::int32_t priority) {
    return queued.priority >= priority;
  };
  auto const place = std::lower_bound(waiting_.begin(), waiting_.end(), request.priority, lower);
  waiting_.insert(place, std::move(request));
  return true;
}

bool engine_model::cancel(std::string const& id) {
  auto const waiting_before = waiting_.size();
  std::erase_if(waiting_, [&](generation_request const& queued) { return queued.id == id; });
  auto const running_before = running_.size();
  std::erase_if(running_, [&](running_sample const& sample) { return sample.request.id == id; });
  return waiting_before != waiting_.size() || running_before != running_.size();
}

void engine_model::admit_waiting() {
  while (running_.size() < slots_ && !waiting_.empty()) {
    running_sample sample;
    sample.request = std::move(waiting_.front());
    waiting_.pop_front();
    generation_request const& request = sample.request;
    sample.position = request.resume_tokens;
    sample.length = sample_length(request.prompt, request.sample_index, request.max_tokens, seed_);
    auto const prompt_tokens = static_cast<std::uint32_t>(
        request.prompt.size() / k_characters_per_token + request.resume_tokens);
    bool const cached = cache_.touch(request.prompt, prompt_tokens);
    sample.prefill_steps = cached ? 0 : prompt_tokens / k_prefill_tokens_per_step;
    running_.push_back(std::move(sample));
  }
}

std::vector<generated_tokens> engine_model::step() {
  admit_waiting();
  std::vector<generated_tokens> produced;
  for (auto at = running_.begin(); at != running_.end();) {
    running_sample& sample = *at;
    if (sample.prefill_steps > 0) {
      --sample.prefill_steps;
      ++at;
      continue;
    }
    generated_tokens output;
    output.id = sample.request.id;
    output.version = versions_[sample.request.model];
    if (sample.position < sample.length) {
      output.text = token_text(output.version, sample.request.prompt, sample.request.sample_index,
                               sample.position);
      output.tokens = 1;
      ++sample.position;
    }
    output.finished = sample.position >= sample.length;
    bool const finished = output.finished;
    produced.push_back(std::move(output));
    at = finished ? running_.erase(at) : std::next(at);
  }
  return produced;
}

order_result engine_model::check_order(std::uint64_t epoch, std::string const& model,
                                       std::uint64_t version) {
  if (epoch < epoch_) return order_result::stale_epoch;
  auto const current = versions_.find(model);
  bool const older = current != versions_.end() && version < current->second;
  if (epoch == epoch_ && older) return order_result::conflicting_content;
  epoch_ = epoch;
  return order_result::accepted;
}

}  // namespace frostline::standin
