/// @file Blocking calls for command-line tools and tests.
#pragma once

#include <optional>

#include "base/asio.h"
#include "http/client.h"
#include "rpc/client.h"

namespace frostline::rpc {

/// Runs `context` until `work` completes. @return the result of `work`.
template <class Value>
Value run_blocking(asio::io_context& context, awaitable<Value> work) {
  std::optional<Value> outcome;
  auto store_result = [](awaitable<Value> inner, std::optional<Value>& into) -> awaitable<void> {
    into.emplace(co_await std::move(inner));
  };
  spawn(context, store_result(std::move(work), outcome));
  context.restart();
  while (!outcome && context.run_one() > 0) {
  }
  return std::move(*outcome);
}

/// RPC and HTTP client with blocking calls.
class blocking_client {
 public:
  template <class Request, class Response>
  reply<Response> call(endpoint const& peer_endpoint, std::string_view service,
                       std::string_view method, Request const& request, milliseconds timeout) {
    return run_blocking(context_, rpc::call<Request, Response>(client_, peer_endpoint, service,
                                                               method, request, timeout));
  }

  result<http::response> exchange(endpoint const& peer_endpoint, http::request message,
                                  milliseconds timeout) {
    return run_blocking(context_, client_.exchange(peer_endpoint, std::move(message), timeout));
  }

 private:
  asio::io_context context_{1};
  http::client client_{context_};
};

}  // namespace frostline::rpc
