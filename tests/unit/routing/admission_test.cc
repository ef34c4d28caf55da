#include "routing/admission.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace frostline;
using namespace frostline::routing;

TEST_GROUP(admission_test) {
  asio::io_context context{1};
  admission_gate gate{context};
  std::vector<std::pair<int, admission_result>> results;

  awaitable<void> enter_and_note(int name, time_point deadline) {
    auto const outcome = co_await gate.enter(deadline);
    results.emplace_back(name, outcome);
  }

  void enter(int name, milliseconds timeout) {
    spawn(context, enter_and_note(name, boot_clock::now() + timeout));
    context.restart();
    context.poll();
  }

  void leave() {
    gate.leave();
    context.restart();
    context.poll();
  }
};

TEST(admission_test, queue_is_fifo_and_limited) {
  gate.set_limits(1, 2);
  for (int name = 1; name <= 4; ++name) enter(name, seconds(60));
  LONGS_EQUAL(2, results.size());
  CHECK(results[0] == std::make_pair(1, admission_result::admitted));
  CHECK(results[1] == std::make_pair(4, admission_result::queue_full));
  leave();
  CHECK(results.back() == std::make_pair(2, admission_result::admitted));
  leave();
  CHECK(results.back() == std::make_pair(3, admission_result::admitted));
  leave();
  LONGS_EQUAL(0, gate.in_flight());
  LONGS_EQUAL(0, gate.queued());
}

TEST(admission_test, request_past_its_deadline_leaves_the_queue) {
  gate.set_limits(1, 5);
  enter(1, seconds(60));
  enter(2, milliseconds(1));
  enter(3, seconds(60));
  while (results.size() < 2) context.run_one();
  CHECK(results[1] == std::make_pair(2, admission_result::deadline_passed));
  leave();
  CHECK(results.back() == std::make_pair(3, admission_result::admitted));
  LONGS_EQUAL(0, gate.queued());
}
