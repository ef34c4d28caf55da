/// @file Typed RPC client calls.
#pragma once

#include "http/client.h"
#include "rpc/codec.h"
#include "rpc/dispatcher.h"
#include "rpc/problem.h"
#include "schema/frostline_generated.h"

namespace frostline::rpc {

/// Converts an HTTP-layer error of a call to a problem.
inline problem from_http_error(std::error_code error, endpoint const& peer_endpoint) {
  std::string detail = peer_endpoint.to_string() + ": " + error.message();
  if (error == http::errc::connect_failed) {
    return unavailable(reason::no_back_end, std::move(detail), milliseconds(200));
  }
  return unknown_outcome(reason::outcome_unknown, std::move(detail));
}

/// Calls `method` of `service` at `peer_endpoint`.
template <class Request, class Response>
awaitable<reply<Response>> call(http::client& client, endpoint peer_endpoint,
                                std::string_view service, std::string_view method,
                                Request const& request, milliseconds timeout) {
  std::string target = std::string(k_rpc_prefix);
  target.append(service).append("/").append(method);
  auto message = http::make_post(target, encode(request), http::k_flatbuffer);
  auto answer = co_await client.exchange(peer_endpoint, std::move(message), timeout);
  if (!answer) co_return from_http_error(answer.error(), peer_endpoint);
  if (answer.value().result() != http::status::ok) co_return from_response(answer.value());
  auto decoded = decode<Response>(answer.value().body());
  if (!decoded) co_return unknown_outcome(reason::outcome_unknown, "answer is malformed");
  co_return std::move(*decoded);
}

}  // namespace frostline::rpc
