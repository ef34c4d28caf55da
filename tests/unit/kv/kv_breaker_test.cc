#include <CppUTest/TestHarness.h>

#include "kv/circuit_breaker.h"

using namespace frostline;

TEST_GROUP(kv_breaker_test) {
  kv::circuit_breaker circuit_breaker{1};
  time_point now = time_point() + seconds(100);

  /// Counts the requests allowed in `duration` if ten per second are tried and all fail.
  int requests_in(milliseconds duration) {
    int let_through = 0;
    for (time_point const end = now + duration; now < end; now += milliseconds(100)) {
      if (!circuit_breaker.allow_request(now)) continue;
      ++let_through;
      circuit_breaker.record_failure(now);
    }
    return let_through;
  }
};

TEST(kv_breaker_test, allows_all_requests_while_the_service_answers) {
  for (int count = 0; count < 100; ++count) {
    CHECK(circuit_breaker.allow_request(now));
    circuit_breaker.record_success();
  }
}

TEST(kv_breaker_test, probes_rarely_during_a_long_outage) {
  requests_in(seconds(20));
  int const requests = requests_in(seconds(60));
  CHECK(requests >= 12);
  CHECK(requests <= 24);
}

TEST(kv_breaker_test, first_success_allows_requests_again) {
  requests_in(seconds(30));
  circuit_breaker.record_success();
  CHECK(circuit_breaker.allow_request(now));
}

TEST(kv_breaker_test, pending_probe_blocks_other_requests) {
  circuit_breaker.record_failure(now);
  now += milliseconds(100);
  CHECK(circuit_breaker.allow_request(now));
  CHECK_FALSE(circuit_breaker.allow_request(now));
}

TEST(kv_breaker_test, probes_of_two_nodes_are_spread) {
  kv::circuit_breaker other{2};
  int together = 0;
  int probes = 0;
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(10);
    bool const first = circuit_breaker.allow_request(now);
    bool const second = other.allow_request(now);
    if (first) circuit_breaker.record_failure(now);
    if (second) other.record_failure(now);
    probes += first ? 1 : 0;
    together += first && second ? 1 : 0;
  }
  CHECK(probes > 5);
  CHECK(together * 2 < probes);
}
