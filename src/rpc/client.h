/// @file Typed calls of the contract's methods.
#pragma once

#include "http/client.h"
#include "rpc/codec.h"
#include "rpc/dispatcher.h"
#include "rpc/problem.h"
#include "schema/frostline_generated.h"

namespace frostline::rpc {

/// Turns an HTTP-layer error of a call into a problem.
inline problem from_http_error(std::error_code error, endpoint const& where) {
  std::string detail = where.to_string() + ": " + error.message();
  if (error == http::errc::connect_failed) {
    return unavailable(reason::no_back_end, std::move(detail), milliseconds(200));
  }
  return unknown_outcome(reason::outcome_unknown, std::move(detail));
}

/// Calls `service`/`method` at `where`.
template <class Request, class Response>
awaitable<reply<Response>> call(http::client& client, endpoint where, std::string_view service,
                                std::string_view method, Request const& request,
                                milliseconds timeout) {
  std::string target = std::string(k_rpc_prefix);
  target.append(service).append("/").append(method);
  auto message = http::make_post(target, encode(request), http::k_flatbuffer);
  auto answer = co_await client.exchange(where, std::move(message), timeout);
  if (!answer) co_return from_http_error(answer.error(), where);
  if (answer.value().result() != http::status::ok) co_return from_response(answer.value());
  auto decoded = decode<Response>(answer.value().body());
  if (!decoded) co_return unknown_outcome(reason::outcome_unknown, "answer is malformed");
  co_return std::move(*decoded);
}

}  // namespace frostline::rpc
