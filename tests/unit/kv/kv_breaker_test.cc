#include <CppUTest/TestHarness.h>

#include "kv/breaker.h"

using namespace frostline;

TEST_GROUP(kv_breaker_test) {
  kv::circuit_breaker circuit_breaker{1};
  time_point now = time_point() + seconds(100);

  /// Requests let through in `duration` if ten a second are tried and none is answered.
  int requests_in(milliseconds duration) {
    int let_through = 0;
    for (time_point const end = now + duration; now < end; now += milliseconds(100)) {
      if (!circuit_breaker.allows(now)) continue;
      ++let_through;
      circuit_breaker.note_failure(now);
    }
    return let_through;
  }
};

TEST(kv_breaker_test, everything_passes_while_the_service_answers) {
  for (int count = 0; count < 100; ++count) {
    CHECK(circuit_breaker.allows(now));
    circuit_breaker.note_answer();
  }
}

TEST(kv_breaker_test, long_outage_is_asked_rarely) {
  requests_in(seconds(20));
  int const requests = requests_in(seconds(60));
  CHECK(requests >= 12);
  CHECK(requests <= 24);
}

TEST(kv_breaker_test, first_answer_opens_it) {
  requests_in(seconds(30));
  circuit_breaker.note_answer();
  CHECK(circuit_breaker.allows(now));
}

TEST(kv_breaker_test, probe_without_outcome_does_not_let_others_through) {
  circuit_breaker.note_failure(now);
  now += milliseconds(100);
  CHECK(circuit_breaker.allows(now));
  CHECK_FALSE(circuit_breaker.allows(now));
}

TEST(kv_breaker_test, two_nodes_do_not_come_back_together) {
  kv::circuit_breaker other{2};
  int together = 0;
  int probes = 0;
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(10);
    bool const first = circuit_breaker.allows(now);
    bool const second = other.allows(now);
    if (first) circuit_breaker.note_failure(now);
    if (second) other.note_failure(now);
    probes += first ? 1 : 0;
    together += first && second ? 1 : 0;
  }
  CHECK(probes > 5);
  CHECK(together * 2 < probes);
}
