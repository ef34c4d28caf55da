/// @file How long an attempt at a server may take before another server is tried, by the usual
/// response times of the server's service. No I/O; reads no clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace frostline::balancing {

/// Recent response times in exponential buckets. Weights are halved regularly, so that the
/// percentile follows a change of the service within seconds. Fixed size.
class response_histogram {
 public:
  void add(milliseconds took, time_point now);
  /// Returns the 90th percentile, interpolated within its bucket; 0 if nothing was added.
  milliseconds percentile_90() const;
  /// Number of response times from the last 10 s.
  std::uint64_t fresh_count(time_point now) const;
  /// Latest time of an addition; time_point::min() if there was none.
  time_point last_added_at() const { return last_added_at_; }

 private:
  /// The last bucket begins at 81 s, later than any timeout of a route.
  static constexpr std::size_t k_buckets = 64;
  static constexpr std::int64_t k_fresh_seconds = 10;

  struct second_count {
    std::int64_t second = 0;
    std::uint64_t count = 0;
  };

  static std::size_t bucket_of(milliseconds took);
  /// Lower bound of a bucket in milliseconds.
  static double begin_of(std::size_t bucket);
  void decay(time_point now);

  std::array<double, k_buckets> weights_{};
  /// Counts of the last seconds, each at the index of its second modulo the size.
  std::array<second_count, k_fresh_seconds> seconds_{};
  time_point decayed_until_ = time_point::min();
  time_point last_added_at_ = time_point::min();
};

struct attempt_limit {
  milliseconds timeout{0};
  /// The limit is earlier than it would be without measurements. To end an attempt at it takes a
  /// token.
  bool early = false;
};

/// Response times and retry budgets by service.
class attempt_times {
 public:
  /// Notes a complete response.
  /// @param took from the start of the attempt.
  void note_answer(std::string const& service, milliseconds took, time_point now);
  /// Notes an attempt that timed out: a response would have taken at least `so_far`. Ignored if
  /// `so_far` is below the 90th percentile, since the response might have taken less or more than
  /// that.
  void note_timeout(std::string const& service, milliseconds so_far, time_point now);
  /// Notes a request, which earns a tenth of a token.
  void note_call(std::string const& service);
  /// Returns the limit of an attempt that starts now and is not the last one of its request.
  /// @param usual limit that applies without measurements.
  /// @param time_left until the deadline of the request.
  attempt_limit timeout(std::string const& service, milliseconds usual, milliseconds time_left,
                        time_point now) const;
  /// Takes a token, to be called when an attempt reaches its early limit. @return false if there is
  /// none: the usual limit applies.
  [[nodiscard]] bool take_token(std::string const& service);
  std::size_t services() const { return services_.size(); }

  /// Services beyond this number replace the one that was measured longest ago.
  static constexpr std::size_t k_max_services = 1000;

 private:
  struct service_state {
    response_histogram responses;
    std::uint32_t tenths_of_tokens = 0;
  };

  service_state& state_of(std::string const& service);

  std::map<std::string, service_state> services_;
};

}  // namespace frostline::balancing
