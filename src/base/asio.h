/// @file The parts of Asio that frostline uses, under short names, and two small awaitables.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "base/time.h"

namespace frostline {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using asio::awaitable;

/// Completion token that yields errors as values.
inline constexpr auto k_as_tuple = asio::as_tuple(asio::use_awaitable);

/// Suspends the coroutine for `duration`.
inline awaitable<void> wait_for(milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(k_as_tuple);
}

/// Condition that coroutines of one io_context wait on; `notify_all` wakes every waiter.
class async_condition {
 public:
  explicit async_condition(asio::io_context& context) : context_(context) {}

  void notify_all() {
    for (asio::steady_timer* waiter : waiters_) waiter->cancel();
  }

  /// Returns after the next notify_all, or at `deadline`.
  awaitable<void> wait_until(time_point deadline) {
    asio::steady_timer timer(context_, deadline);
    auto const place = waiters_.insert(waiters_.end(), &timer);
    co_await timer.async_wait(k_as_tuple);
    waiters_.erase(place);
  }

  awaitable<void> wait() { return wait_until(time_point::max()); }

 private:
  asio::io_context& context_;
  std::list<asio::steady_timer*> waiters_;
};

/// Starts a coroutine whose exceptions end the process: none is expected.
template <class Coroutine>
void spawn(asio::io_context& context, Coroutine coroutine) {
  asio::co_spawn(context, std::move(coroutine), [](std::exception_ptr failure) {
    if (failure) std::rethrow_exception(failure);
  });
}

}  // namespace frostline
