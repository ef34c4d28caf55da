/// @file Tests that clocks, leases and timers account for time during which the machine was
/// suspended.

#include "suspension.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

#include "base/asio.h"
#include "memory_record_store.h"
#include "ownership/owner_lease.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// Longest time that a test waits, by a clock that does not count suspensions.
constexpr std::chrono::seconds k_wait_timeout{3};

bool run_until(asio::io_context& context, std::function<bool()> condition) {
  auto const limit = std::chrono::steady_clock::now() + k_wait_timeout;
  while (!condition() && std::chrono::steady_clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  return condition();
}

}  // namespace

TEST_GROUP(suspension_test){};

TEST(suspension_test, boot_clock_counts_suspended_time) {
  time_point const before = boot_clock::now();
  suspend(milliseconds(5000));
  CHECK(boot_clock::now() - before >= milliseconds(5000));
}

TEST(suspension_test, lease_that_expired_during_suspension_is_not_held) {
  asio::io_context context{1};
  memory_record_store store{context};
  ownership::owner_lease_options options;
  options.node = "one";
  options.address = endpoint{"127.0.0.1", 1000};
  ownership::owner_lease lease{context, store, "pool", options};
  bool gained = false;
  lease.on_change([&] { gained = true; }, [] {});
  lease.start();
  lease.note_record(nullptr);
  CHECK(run_until(context, [&] { return gained; }));
  CHECK(lease.holds(boot_clock::now()));
  suspend(options.time_to_live);
  CHECK(!lease.holds(boot_clock::now()));
  CHECK(!lease.may_order(boot_clock::now()));
}

TEST(suspension_test, wait_that_expired_during_suspension_ends_after_resume) {
  asio::io_context context{1};
  bool ended = false;
  auto const wait = [&]() -> awaitable<void> {
    co_await wait_for(milliseconds(60'000));
    ended = true;
  };
  spawn(context, wait());
  context.poll();
  suspend(milliseconds(60'000));
  CHECK(run_until(context, [&] { return ended; }));
}

TEST(suspension_test, condition_deadline_that_passed_during_suspension_ends_the_wait) {
  asio::io_context context{1};
  async_condition condition{context};
  bool ended = false;
  auto const wait = [&]() -> awaitable<void> {
    co_await condition.wait_until(boot_clock::now() + milliseconds(60'000));
    ended = true;
  };
  spawn(context, wait());
  context.poll();
  suspend(milliseconds(60'000));
  CHECK(run_until(context, [&] { return ended; }));
}
