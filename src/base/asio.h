/// @file Aliases for Asio types, and timers, a condition and coroutine helpers built on boot_clock.
#pragma once

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert/source_location.hpp>
#include <list>

#include "base/time.h"
#include "base/unhandled_exception.h"

namespace frostline {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using asio::awaitable;

/// Completion token that yields errors as values.
inline constexpr auto k_as_tuple = asio::as_tuple(asio::use_awaitable);

/// Limits how long the reactor sleeps for a timer. The reactor's own clock stops while the machine
/// is suspended, so timers check boot_clock at least every k_max_sleep: a wait whose deadline
/// passed during a suspension ends at most that long after the resume.
struct boot_clock_wait_traits {
  static constexpr boot_clock::duration k_max_sleep = seconds(1);

  static boot_clock::duration to_wait_duration(boot_clock::duration left) {
    return std::min(left, k_max_sleep);
  }
  static boot_clock::duration to_wait_duration(boot_clock::time_point when) {
    return to_wait_duration(when - boot_clock::now());
  }
};

using boot_timer = asio::basic_waitable_timer<boot_clock, boot_clock_wait_traits>;

/// Suspends the coroutine for `duration`.
inline awaitable<void> wait_for(milliseconds duration) {
  boot_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(k_as_tuple);
}

/// Condition variable for the coroutines of one io_context. Not thread-safe.
class async_condition {
 public:
  explicit async_condition(asio::io_context& context) : context_(context) {}

  void notify_all() {
    for (boot_timer* waiter : waiters_) waiter->cancel();
  }

  /// Returns after the next notify_all, or at `deadline`.
  awaitable<void> wait_until(time_point deadline) {
    boot_timer timer(context_, deadline);
    auto const position = waiters_.insert(waiters_.end(), &timer);
    co_await timer.async_wait(k_as_tuple);
    waiters_.erase(position);
  }

  awaitable<void> wait() { return wait_until(time_point::max()); }

 private:
  asio::io_context& context_;
  std::list<boot_timer*> waiters_;
};

/// Starts a detached coroutine. An exception that leaves it is logged with the place that started
/// the coroutine, and propagates out of io_context::run.
template <class Coroutine>
void spawn(asio::io_context& context, Coroutine coroutine,
           boost::source_location origin = BOOST_CURRENT_LOCATION) {
  asio::co_spawn(context, std::move(coroutine), [origin](std::exception_ptr failure) {
    if (!failure) return;
    log_unhandled_exception(failure, origin);
    std::rethrow_exception(failure);
  });
}

/// Runs the context until it is stopped. An exception that leaves a handler, of a timer or of a
/// library, is logged and thrown on; those of coroutines are logged by `spawn` as well.
void run_logged(asio::io_context& context);

}  // namespace frostline
