/// @file Maps POST /rpc/v1/<Service>/<Method> to typed handlers; bodies are binary or JSON.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>

#include "base/asio.h"
#include "http/message.h"
#include "rpc/codec.h"
#include "rpc/problem.h"

namespace frostline::rpc {

inline constexpr std::string_view k_rpc_prefix = "/rpc/v1/";
/// Largest JSON body. JSON can take many times its size when it is parsed; callers with more to say
/// use the binary format.
inline constexpr std::size_t k_max_json_bytes = 1024 * 1024;

class dispatcher {
 public:
  /// Registers a method. Throws std::logic_error if the schema does not declare it with these
  /// types.
  template <class Request, class Response>
  void add(std::string_view service, std::string_view method,
           std::function<awaitable<reply<Response>>(Request)> handle) {
    if (!codec_.has_method(service, method, type_name<Request>(), type_name<Response>())) {
      throw std::logic_error("method is not in the schema: " + std::string(method));
    }
    binary_method binary = [handle](std::string body) -> awaitable<reply<std::string>> {
      auto request = decode<Request>(body);
      if (!request) co_return bad_request("body is not a valid " + type_name<Request>());
      auto answer = co_await handle(std::move(*request));
      if (!answer) co_return std::move(answer).error();
      co_return encode(answer.value());
    };
    std::string path = std::string(k_rpc_prefix) + std::string(service) + "/" + std::string(method);
    methods_[std::move(path)] = {std::move(binary), type_name<Request>(), type_name<Response>()};
  }

  /// Answers a request whose target begins with k_rpc_prefix.
  awaitable<http::response> handle(http::request message);

  std::vector<std::string> paths() const;

 private:
  using binary_method = std::function<awaitable<reply<std::string>>(std::string)>;
  struct method_entry {
    binary_method call;
    std::string request_type;
    std::string response_type;
  };

  std::map<std::string, method_entry, std::less<>> methods_;
  json_codec codec_;
};

}  // namespace frostline::rpc
