#include "balancing/attempt_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace frostline::balancing {
namespace {

/// Ratio between the bounds of a bucket, which limits the error of the percentile.
constexpr double k_bucket_factor = 1.2;
constexpr double k_percentile = 0.9;
/// A response time from this long ago has half the weight of a current one.
constexpr milliseconds k_half_life{2000};
/// Halvings after which nothing of a weight is left.
constexpr std::int64_t k_max_halvings = 64;
/// A percentile of fewer response times is too uncertain.
constexpr std::uint64_t k_min_fresh_count = 20;
constexpr int k_percentile_multiple = 2;
/// Covers a new connection and a retransmission.
constexpr milliseconds k_min_early_timeout{60};
constexpr std::uint32_t k_tenths_of_token = 10;
constexpr std::uint32_t k_max_saved_tenths = 10 * k_tenths_of_token;

std::int64_t second_of(time_point when) {
  return std::chrono::floor<seconds>(when.time_since_epoch()).count();
}

}  // namespace

std::size_t response_histogram::bucket_of(milliseconds took) {
  if (took < milliseconds(1)) return 0;
  double const power = std::log(static_cast<double>(took.count())) / std::log(k_bucket_factor);
  return std::min(static_cast<std::size_t>(power) + 1, k_buckets - 1);
}

double response_histogram::begin_of(std::size_t bucket) {
  return bucket == 0 ? 0 : std::pow(k_bucket_factor, static_cast<double>(bucket - 1));
}

void response_histogram::decay(time_point now) {
  if (decayed_until_ == time_point::min()) decayed_until_ = now;
  if (now - decayed_until_ < k_half_life) return;
  std::int64_t const halvings = (now - decayed_until_) / k_half_life;
  decayed_until_ += halvings * k_half_life;
  double const factor = halvings > k_max_halvings ? 0 : std::exp2(-static_cast<double>(halvings));
  for (double& weight : weights_) weight *= factor;
}

void response_histogram::add(milliseconds took, time_point now) {
  decay(now);
  weights_.at(bucket_of(took)) += 1;
  last_added_at_ = std::max(last_added_at_, now);
  std::int64_t const second = second_of(now);
  second_count& entry = seconds_.at(static_cast<std::size_t>(second % k_fresh_seconds));
  if (entry.second != second) entry = {second, 0};
  ++entry.count;
}

milliseconds response_histogram::percentile_90() const {
  double const wanted = k_percentile * std::accumulate(weights_.begin(), weights_.end(), 0.0);
  double below = 0;
  for (std::size_t bucket = 0; bucket < k_buckets; ++bucket) {
    double const weight = weights_.at(bucket);
    if (weight > 0 && below + weight >= wanted) {
      double const begin = begin_of(bucket);
      double const width = begin_of(bucket + 1) - begin;
      double const value = begin + width * (wanted - below) / weight;
      return milliseconds(static_cast<std::int64_t>(std::ceil(value)));
    }
    below += weight;
  }
  return milliseconds(0);
}

std::uint64_t response_histogram::fresh_count(time_point now) const {
  std::int64_t const oldest = second_of(now) - k_fresh_seconds;
  std::uint64_t count = 0;
  for (second_count const& entry : seconds_) {
    if (entry.second > oldest) count += entry.count;
  }
  return count;
}

attempt_times::service_state& attempt_times::state_of(std::string const& service) {
  auto const found = services_.find(service);
  if (found != services_.end()) return found->second;
  if (services_.size() >= k_max_services) {
    auto const oldest =
        std::min_element(services_.begin(), services_.end(), [](auto const& a, auto const& b) {
          return a.second.responses.last_added_at() < b.second.responses.last_added_at();
        });
    services_.erase(oldest);
  }
  return services_[service];
}

void attempt_times::note_answer(std::string const& service, milliseconds took, time_point now) {
  state_of(service).responses.add(took, now);
}

void attempt_times::note_timeout(std::string const& service, milliseconds so_far, time_point now) {
  response_histogram& responses = state_of(service).responses;
  if (so_far >= responses.percentile_90()) responses.add(so_far, now);
}

void attempt_times::note_call(std::string const& service) {
  std::uint32_t& tenths = state_of(service).tenths_of_tokens;
  tenths = std::min(tenths + 1, k_max_saved_tenths);
}

attempt_limit attempt_times::timeout(std::string const& service, milliseconds usual,
                                     milliseconds time_left, time_point now) const {
  milliseconds const without_measurements = std::min(usual, time_left);
  auto const found = services_.find(service);
  bool const known =
      found != services_.end() && found->second.responses.fresh_count(now) >= k_min_fresh_count;
  if (!known) return {without_measurements, false};
  milliseconds const measured = std::max(
      k_min_early_timeout, found->second.responses.percentile_90() * k_percentile_multiple);
  milliseconds const limit = std::min({without_measurements, time_left / 2, measured});
  return {limit, limit < without_measurements};
}

bool attempt_times::take_token(std::string const& service) {
  auto const found = services_.find(service);
  bool const has_token =
      found != services_.end() && found->second.tenths_of_tokens >= k_tenths_of_token;
  if (has_token) found->second.tenths_of_tokens -= k_tenths_of_token;
  return has_token;
}

}  // namespace frostline::balancing
