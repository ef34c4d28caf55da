/// @file Runs one coroutine to its end, for command-line tools and tests.
#pragma once

#include <optional>

#include "base/asio.h"
#include "http/client.h"
#include "rpc/client.h"

namespace frostline::rpc {

/// Runs `work` on `context` until it has ended. @return what it returned.
template <class Value>
Value run_blocking(asio::io_context& context, awaitable<Value> work) {
  std::optional<Value> outcome;
  auto keep = [](awaitable<Value> inner, std::optional<Value>& into) -> awaitable<void> {
    into.emplace(co_await std::move(inner));
  };
  spawn(context, keep(std::move(work), outcome));
  context.restart();
  while (!outcome && context.run_one() > 0) {
  }
  return std::move(*outcome);
}

/// A client whose calls block.
class blocking_client {
 public:
  template <class Request, class Response>
  reply<Response> call(endpoint const& where, std::string_view service, std::string_view method,
                       Request const& request, milliseconds timeout) {
    return run_blocking(
        context_, rpc::call<Request, Response>(client_, where, service, method, request, timeout));
  }

  result<http::response> exchange(endpoint const& where, http::request message,
                                  milliseconds timeout) {
    return run_blocking(context_, client_.exchange(where, std::move(message), timeout));
  }

 private:
  asio::io_context context_{1};
  http::client client_{context_};
};

}  // namespace frostline::rpc
